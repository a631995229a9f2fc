#pragma once

#include "foxtailring/store/KeyValueClient.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Contents of a store that several gateways of one test share. Thread-safe.
///
/// Leases never end by themselves; a watch gets every change at once.
class SharedStore
{
public:
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    RangeResult read(const std::string &prefix) const;
    /// \brief Applies the write if the key's revision is \a expectedRevision.
    WriteResult write(const std::string &key, const std::string &value,
                      std::int64_t expectedRevision);
    StoreLease grantLease();
    /// \brief Called with each key that a gateway writes; set before the gateways start.
    void setWrittenHook(std::function<void(const std::string &key)> hook);
    void watch(const WatchHooks &hooks);
    /// \brief Epoch of all answers from now on; contents and watches stay as they are.
    void setEpoch(std::int64_t epoch);
    /// \brief Confirms to every watch that it has seen all changes so far.
    void confirm();

private:
    void announce(const WatchEvent &event) const;

    mutable std::mutex m_mutex;
    std::int64_t m_epoch = 0;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::map<std::string, KeyValue> m_items;
    std::vector<WatchHooks> m_watches;
    std::function<void(const std::string &key)> m_writtenHook;
};

} // namespace foxtailring
