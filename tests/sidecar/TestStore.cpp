#include "TestStore.h"

using namespace foxtailring;

Result<BucketSwap> TestStore::Shared::swap(const std::string &path, const std::string &value,
                                           StoreRevision expected)
{
    ++swaps;
    BucketValue &bucket = buckets[path];
    if (bucket.revision != expected)
        return BucketSwap {false, bucket};
    bucket = {value, {0, ++revision}};
    return BucketSwap {true, {{}, {0, revision}}};
}

ClaimStore TestStore::store() const
{
    ClaimStore store;
    store.readBucket = [shared = m_shared](const std::string &path,
                                           const ClaimStore::ReadHook &hook) {
        Result<BucketValue> result {ErrorCode::Unavailable, "unavailable"};
        shared->waiting.change([&] {
            if (shared->fault != Fault::Unavailable)
                result = shared->buckets[path];
        });
        hook(result);
    };
    store.swapBucket = [shared = m_shared](const std::string &path, const std::string &value,
                                           StoreRevision expected,
                                           const ClaimStore::SwapHook &hook) {
        Result<BucketSwap> result {ErrorCode::Unavailable, "unavailable"};
        bool held = false;
        shared->waiting.change([&] {
            held = shared->fault == Fault::Silent;
            if (held)
                shared->held = [=] { hook(shared->swap(path, value, expected)); };
            else if (shared->fault != Fault::Unavailable)
                result = shared->swap(path, value, expected);
            if (shared->fault == Fault::LostReply)
                result = Error {ErrorCode::Timeout, "no reply"};
        });
        if (!held)
            hook(result);
    };
    return store;
}

void TestStore::setFault(Fault fault) const
{
    m_shared->waiting.change([&] { m_shared->fault = fault; });
}

bool TestStore::waitForHeldSwap() const
{
    return m_shared->waiting.until([&] { return m_shared->held != nullptr; });
}

void TestStore::release() const
{
    std::function<void()> held;
    m_shared->waiting.change([&] { held.swap(m_shared->held); });
    held();
}

bool TestStore::waitForText(const std::string &text) const
{
    return m_shared->waiting.until([&] {
        for (const auto &[path, bucket] : m_shared->buckets) {
            if (bucket.value.find(text) != std::string::npos)
                return true;
        }
        return false;
    });
}

std::size_t TestStore::swaps() const
{
    std::size_t count = 0;
    m_shared->waiting.change([&] { count = m_shared->swaps; });
    return count;
}
