#include "GenerationDirectory.h"

#include "foxtailring/decisions/placement/RendezvousHash.h"
#include "foxtailring/protocol/FindGeneration.h"
#include "foxtailring/protocol/Frame.h"
#include "foxtailring/transport/Http2Stream.h"
#include "foxtailring/transport/Timer.h"

#include "EntryParts.h"
#include "FrameHooks.h"
#include "KeyOwner.h"
#include "SidecarLink.h"
#include "SidecarPaths.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace foxtailring {

namespace {

// The question put to the keepers of one key.
struct Search : std::enable_shared_from_this<Search>
{
    Search(WorkerPool &pool, GenerationDirectory::FindHook foundHook)
        : timer(pool)
        , hook(std::move(foundHook))
    {
    }

    void answered(const Frame &frame)
    {
        const auto record = decodeMessage<GenerationRecord>(frame);
        const std::lock_guard lock(mutex);
        if (record && (!best || record.value().attempt > best->attempt))
            best = record.value();
    }

    void keeperDone()
    {
        bool isLast = false;
        {
            const std::lock_guard lock(mutex);
            isLast = --open == 0;
        }
        if (isLast)
            end();
    }

    void end()
    {
        GenerationDirectory::FindHook call;
        std::optional<GenerationRecord> result;
        std::vector<std::shared_ptr<Http2Stream>> ended;
        {
            const std::lock_guard lock(mutex);
            call.swap(hook);
            result = best;
            ended.swap(streams);
        }
        timer.cancel();
        for (const auto &stream : ended)
            stream->reset();
        if (call)
            call(std::move(result));
    }

    void ask(SidecarLink &link, const std::string &question)
    {
        const LinkStream opened = link.open(sidecar_paths::find);
        {
            const std::lock_guard lock(mutex);
            streams.push_back(opened.stream);
        }
        opened.stream->send(question);
        opened.stream->finish();
        FrameHooks::set(opened.stream,
                        {[self = shared_from_this()](const Frame &frame) { self->answered(frame); },
                         [self = shared_from_this()](const Error &) { self->keeperDone(); }});
    }

    std::mutex mutex;
    Timer timer;
    GenerationDirectory::FindHook hook;
    std::optional<GenerationRecord> best;
    std::size_t open = 0;
    std::vector<std::shared_ptr<Http2Stream>> streams;
};

} // namespace

GenerationDirectory::GenerationDirectory(EntryParts &parts)
    : m_parts(parts)
{
}

std::vector<std::string> GenerationDirectory::keepers(std::string_view service,
                                                      std::string_view account,
                                                      std::string_view key) const
{
    const auto ranked = KeyOwner::rank(m_parts, service, account, key);
    std::vector<std::string> chosen;
    if (ranked.empty())
        return chosen;
    chosen.push_back(ranked.front().info->address);
    const auto elsewhere =
        std::find_if(ranked.begin() + 1, ranked.end(), [&](const ServerState &server) {
            return server.info->availabilityZone != ranked.front().info->availabilityZone;
        });
    if (elsewhere != ranked.end())
        chosen.push_back(elsewhere->info->address);
    else if (ranked.size() > 1)
        chosen.push_back(ranked[1].info->address);
    return chosen;
}

void GenerationDirectory::find(std::string_view service, const std::string &account,
                               const std::string &key, FindHook hook)
{
    std::vector<std::shared_ptr<SidecarLink>> links;
    for (const std::string &address : keepers(service, account, key)) {
        if (auto link = m_parts.links.link(address))
            links.push_back(std::move(link));
    }
    if (links.empty()) {
        hook(std::nullopt);
        return;
    }
    const auto search = std::make_shared<Search>(m_parts.pool, std::move(hook));
    search->open = links.size();
    search->timer.once(m_parts.settings.recordTimeout, [search] { search->end(); });
    const std::string question = encodeMessage(FindGeneration {account, key});
    for (const auto &link : links)
        search->ask(*link, question);
}

void GenerationDirectory::store(std::string_view service, const GenerationRecord &record)
{
    const std::string frame = encodeMessage(record);
    for (const std::string &address : keepers(service, record.account, record.idempotencyKey)) {
        const auto link = m_parts.links.link(address);
        if (!link)
            continue;
        const LinkStream opened = link->open(sidecar_paths::record);
        opened.stream->send(frame);
        opened.stream->finish();
    }
}

} // namespace foxtailring
