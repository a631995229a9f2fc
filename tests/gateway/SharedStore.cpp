#include "SharedStore.h"

#include "foxtailring/base/Clock.h"

#include <utility>

namespace foxtailring {

void SharedStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = {key, value, ++m_revision};
    announce({false, m_items[key]});
}

void SharedStore::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_items.erase(key);
    announce({true, {key, "", ++m_revision}});
}

void SharedStore::announce(const WatchEvent &event) const
{
    for (const WatchHooks &hooks : m_watches)
        hooks.onChanges({&event, 1}, m_revision);
}

void SharedStore::setEpoch(std::int64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    m_epoch = epoch;
}

void SharedStore::setWrittenHook(std::function<void(const std::string &key)> hook)
{
    m_writtenHook = std::move(hook);
}

RangeResult SharedStore::read(const std::string &prefix) const
{
    const std::lock_guard lock(m_mutex);
    RangeResult result;
    result.revision = m_revision;
    result.epoch = m_epoch;
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix))
            result.pairs.push_back(item);
    }
    return result;
}

WriteResult SharedStore::write(const std::string &key, const std::string &value,
                               std::int64_t expectedRevision)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        const KeyValue current = found == m_items.end() ? KeyValue {key, "", 0} : found->second;
        if (current.modRevision != expectedRevision)
            return {false, m_revision, current, m_epoch};
    }
    put(key, value);
    if (m_writtenHook)
        m_writtenHook(key);
    const RangeResult written = read(key);
    return {true, written.revision, {}, written.epoch};
}

StoreLease SharedStore::grantLease()
{
    const std::lock_guard lock(m_mutex);
    return {m_epoch, ++m_lastLease};
}

void SharedStore::watch(const WatchHooks &hooks)
{
    const std::lock_guard lock(m_mutex);
    m_watches.push_back(hooks);
}

void SharedStore::confirm()
{
    const std::lock_guard lock(m_mutex);
    for (const WatchHooks &hooks : m_watches)
        hooks.onConfirmed(bootClock()());
}

} // namespace foxtailring
