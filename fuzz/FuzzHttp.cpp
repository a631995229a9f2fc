#include "foxtailring/transport/Http1Responder.h"
#include "Http1ClientExchange.h"
#include "Http1Connection.h"
#include "Http1ServerShared.h"
#include "HttpWire.h"

#include "FuzzInput.h"

#include <algorithm>
#include <functional>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace foxtailring;

namespace {

constexpr HttpLimits limits {1024, 2048};

/// Returns the size of the next piece of the given bytes.
using Cut = std::function<std::size_t(std::string_view)>;

std::size_t whole(std::string_view bytes)
{
    return bytes.size();
}

// Bytes at a time, single ones as long as that takes few steps.
Cut bytewise(std::string_view bytes)
{
    return [size = bytes.size() / 128 + 1](std::string_view) { return size; };
}

// A line and the first byte of the next one.
std::size_t lineAndByte(std::string_view bytes)
{
    return std::min(bytes.find('\n'), bytes.size() - 2) + 2;
}

// A connection whose other end is written by the fuzzer. Everything runs on its thread.
class Peer
{
public:
    Peer()
    {
        int ends[2];
        require(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
        m_ownEnd = ends[0];
        socket.assign(Tcp::v4(), ends[1]);
    }
    ~Peer() { ::close(m_ownEnd); }
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    void send(std::string_view bytes, const Cut &cut)
    {
        run();
        while (!bytes.empty()) {
            const std::string_view part = bytes.substr(0, cut(bytes));
            bytes.remove_prefix(part.size());
            // A closed connection takes no more.
            (void)::send(m_ownEnd, part.data(), part.size(), MSG_NOSIGNAL);
            run();
        }
    }

    void finish()
    {
        ::shutdown(m_ownEnd, SHUT_WR);
        run();
    }

private:
    void run()
    {
        context.restart();
        while (context.poll() > 0)
            receive();
        receive();
    }

    void receive()
    {
        char buffer[4096];
        ssize_t size = 0;
        while ((size = ::recv(m_ownEnd, buffer, sizeof buffer, 0)) > 0)
            received.append(buffer, static_cast<std::size_t>(size));
    }

    int m_ownEnd = -1;

public:
    net::io_context context {1};
    Socket socket {net::make_strand(context)};
    std::string received;
};

struct Served
{
    std::vector<HttpRequest> requests;
    std::string responses;
};

void respondTo(const HttpRequest &request, Http1Responder &responder)
{
    if (request.target.size() % 2 == 0)
        return responder.respond({200, {{"Name", "value"}}, "whole"});
    responder.startStream(200, {{"Name", "value"}});
    responder.write("part");
    responder.finish();
}

Served serve(std::string_view bytes, const Cut &cut)
{
    Served served;
    Peer peer;
    const auto shared = std::make_shared<Http1ServerShared>(
        limits, [&served](HttpRequest request, const std::shared_ptr<Http1Responder> &responder) {
            respondTo(request, *responder);
            served.requests.push_back(std::move(request));
        });
    std::make_shared<Http1Connection>(std::move(peer.socket), shared)->start();
    peer.send(bytes, cut);
    peer.finish();
    served.responses = std::move(peer.received);
    return served;
}

bool areSame(const std::vector<HttpHeader> &one, const std::vector<HttpHeader> &other)
{
    const auto isSame = [](const HttpHeader &a, const HttpHeader &b) {
        return a.name == b.name && a.value == b.value;
    };
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), isSame);
}

bool isSame(const HttpRequest &one, const HttpRequest &other)
{
    return one.method == other.method && one.target == other.target && one.body == other.body;
}

std::size_t headBytes(const HttpRequest &request)
{
    std::size_t bytes = request.method.size() + request.target.size();
    for (const HttpHeader &header : request.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

std::size_t countResponses(std::string_view responses)
{
    constexpr std::string_view mark = " 200 OK\r\n";
    std::size_t count = 0;
    for (std::size_t at = 0; (at = responses.find(mark, at)) != std::string_view::npos; ++at)
        ++count;
    return count;
}

// A request that is sent on must be read as one and the same request.
void checkForwarded(const HttpRequest &request)
{
    require(isSendable(request) && headBytes(request) <= limits.maxHeaderBytes);
    const std::string bytes = serializeRequest(request, "h", true);
    if (bytes.size() - request.body.size() >= limits.maxHeaderBytes)
        return;
    const Served again = serve(bytes, whole);
    require(again.requests.size() == 1 && isSame(request, again.requests.front()));
}

void fuzzServer(std::string_view bytes)
{
    const Served atOnce = serve(bytes, whole);
    for (const HttpRequest &request : atOnce.requests)
        checkForwarded(request);
    for (const Cut &cut : {bytewise(bytes), Cut(lineAndByte)}) {
        const Served pieces = serve(bytes, cut);
        require(atOnce.requests.size() == pieces.requests.size());
        require(countResponses(pieces.responses) == pieces.requests.size());
        for (std::size_t i = 0; i < atOnce.requests.size(); ++i)
            require(isSame(atOnce.requests[i], pieces.requests[i])
                    && areSame(atOnce.requests[i].headers, pieces.requests[i].headers));
    }
}

struct Exchanged
{
    int headCount = 0;
    HttpResponse response;
    bool isClosed = false;
    bool isWhole = false;
};

Exchanged exchange(std::string_view bytes, const Cut &cut, bool isHead)
{
    Exchanged result;
    Peer peer;
    StreamHooks hooks;
    hooks.onHead = [&result](const HttpResponse &head) {
        ++result.headCount;
        result.response = head;
    };
    hooks.onBody = [&result](std::string_view part) { result.response.body += part; };
    hooks.onClosed = [&result](const Result<Done> &done) {
        require(!result.isClosed);
        result.isClosed = true;
        result.isWhole = done.isOk();
    };
    hooks.matchesRequest = [](const HttpResponse &head, bool) {
        return head.header("Id") != "other";
    };
    Http1ClientExchange::Options options;
    options.requestBytes = serializeRequest({"GET", "/", {}, ""}, "h", true);
    options.isHead = isHead;
    std::make_shared<Http1ClientExchange>(std::move(peer.socket), options, hooks)->start();
    peer.send(bytes, cut);
    peer.finish();
    require(result.isClosed && result.headCount <= 1);
    return result;
}

bool isSame(const HttpResponse &one, const HttpResponse &other)
{
    return one.status == other.status && one.body == other.body
        && areSame(one.headers, other.headers);
}

// A response that is passed on must be read with the same status and body.
void checkForwarded(const HttpResponse &response)
{
    const bool hasBody = response.status != 204 && response.status != 304;
    if (response.status < 200 || response.status > 599 || !response.header("Id").empty())
        return;
    const std::string bytes = serializeResponse(response, {});
    const Exchanged again = exchange(bytes, whole, false);
    require(again.isWhole && again.response.status == response.status);
    require(!hasBody || again.response.body == response.body);
}

void fuzzClient(std::string_view bytes, bool isHead)
{
    const Exchanged atOnce = exchange(bytes, whole, isHead);
    if (atOnce.isWhole)
        checkForwarded(atOnce.response);
    for (const Cut &cut : {bytewise(bytes), Cut(lineAndByte)}) {
        const Exchanged pieces = exchange(bytes, cut, isHead);
        require(atOnce.isWhole == pieces.isWhole);
        require(!atOnce.isWhole || isSame(atOnce.response, pieces.response));
    }
}

} // namespace

// Requests of callers and responses of servers, on connections as the transport has them. The first
// line is `requests`, `response` or `response to HEAD`. Messages mean the same in whatever pieces
// they arrive, unless they are malformed: Beast reports an error in a head that it has in
// part only with the rest of the head.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    FuzzInput input(data, size);
    const std::string_view side = input.takeLine();
    if (side.starts_with("response"))
        fuzzClient(input.rest(), side.ends_with("HEAD"));
    else
        fuzzServer(input.rest());
    return 0;
}
