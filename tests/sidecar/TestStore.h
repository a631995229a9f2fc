#pragma once

#include "foxtailring/sidecar/ClaimStore.h"
#include "Waiting.h"

#include <map>
#include <memory>
#include <string>

/// \brief Bucket documents in memory, with faults that a test sets.
class TestStore
{
public:
    enum class Fault {
        None,
        LostReply,   ///< swaps take effect, but their reply is lost
        Unavailable, ///< nothing is reached
        Silent,      ///< swaps wait for release()
    };

    foxtailring::ClaimStore store() const;
    void setFault(Fault fault) const;
    /// \brief Carries out the swap that was held back.
    void release() const;
    bool waitForHeldSwap() const;
    bool waitForText(const std::string &text) const;
    std::size_t swaps() const;

private:
    struct Shared
    {
        foxtailring::Result<foxtailring::BucketSwap> swap(const std::string &path,
                                                          const std::string &value,
                                                          foxtailring::StoreRevision expected);

        Waiting waiting; // guards all below
        Fault fault = Fault::None;
        std::map<std::string, foxtailring::BucketValue> buckets;
        std::int64_t revision = 0;
        std::size_t swaps = 0;
        std::function<void()> held;
    };

    std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
};
