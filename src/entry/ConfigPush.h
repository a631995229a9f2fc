#pragma once

#include "foxtailring/base/Clock.h"

#include "LinkStream.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtailring {

class SidecarLink;
struct EntryParts;
struct Frame;

/// \brief Brings one sidecar to the configuration revision of this entry.
///
/// Not thread-safe but for revision().
class ConfigPush
{
public:
    using Post = std::function<void(std::function<void()>)>;

    ConfigPush(EntryParts &parts, std::shared_ptr<SidecarLink> link);

    /// \param post runs work on the queue of the owner, unless the owner is gone
    void setPost(Post post) { m_post = std::move(post); }

    /// \brief A load report of the sidecar told its revision.
    void reported(std::int64_t revision, std::int64_t epoch, std::uint64_t incarnation);
    /// \brief Sends what the sidecar lacks, unless that is on its way already.
    void pushIfBehind(TimePoint now);
    /// \brief The link is lost: the stream is of no more use.
    void close();

    std::int64_t revision() const { return m_revision; }

private:
    void open();
    void frameArrived(std::uint64_t stream, const Frame &frame);

    EntryParts &m_parts;
    std::shared_ptr<SidecarLink> m_link;
    Post m_post;
    LinkStream m_stream;
    std::uint64_t m_streamNumber = 0;
    std::uint64_t m_incarnation = 0; ///< 0: no report yet
    std::atomic<std::int64_t> m_revision = 0;
    std::int64_t m_epoch = 0;        ///< of the store, in which m_revision is valid
    std::int64_t m_sentRevision = 0; ///< on its way; 0: nothing
    std::int64_t m_sentEpoch = 0;
    TimePoint m_sentAt;
};

} // namespace foxtailring
