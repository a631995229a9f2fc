#pragma once

#include "foxtailring/entry/EntryNode.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/WorkerPool.h"

#include "FakeSidecar.h"
#include "SseReader.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailring::test {

/// \brief An entry with sidecars and a caller, all in the test's process.
class EntryFixture
{
public:
    explicit EntryFixture(std::size_t sidecarCount = 2, const std::string &service = "lector",
                          std::chrono::milliseconds drainLimit = std::chrono::milliseconds(100),
                          std::chrono::milliseconds suspectAfter = std::chrono::seconds(1));
    ~EntryFixture();

    /// \brief Adds one more entry that serves the same sidecars; returns its port.
    std::uint16_t addEntry();
    EntryNode &entry(std::size_t index = 0) { return *m_entries[index]; }
    FakeSidecar &sidecar(std::size_t index) { return *m_sidecars[index]; }
    std::size_t sidecarCount() const { return m_sidecars.size(); }
    void setScripts(FakeSidecar::Script script);

    HttpResponse request(HttpRequest request, std::uint16_t port = 0);
    HttpResponse post(const std::string &path, const std::string &body,
                      std::vector<HttpHeader> headers = {}, std::uint16_t port = 0);
    /// \brief Starts a streamed completion.
    std::shared_ptr<SseReader> stream(const std::string &body, std::vector<HttpHeader> headers = {},
                                      std::uint16_t port = 0);
    std::uint16_t port() const { return m_ports.front().callers; }
    std::uint16_t adminPort() const { return m_ports.front().admin; }

    static EntrySettings settings(const std::string &id);
    /// \brief Waits until \a done is true; fails the test after a generous deadline.
    static void waitUntil(const std::function<bool()> &done);
    /// \brief Text of a whole answer with that tag.
    static std::string answer(const std::string &tag, std::size_t tokens, std::size_t from = 0);

private:
    std::string m_service;
    std::chrono::milliseconds m_drainLimit;
    std::chrono::milliseconds m_suspectAfter;
    std::vector<std::unique_ptr<FakeSidecar>> m_sidecars;
    std::vector<std::unique_ptr<EntryNode>> m_entries;
    std::vector<EntryPorts> m_ports;
    WorkerPool m_pool;
    Http1Client m_client;
};

} // namespace foxtailring::test
