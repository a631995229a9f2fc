#pragma once

#include "foxtailring/protocol/GenerationRecord.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct EntryParts;

/// \brief Soft records of which sidecar runs the generation of an idempotency key.
///
/// Each record is kept by two sidecars of the service, chosen by rendezvous hashing of client
/// account and key, in different availability zones where there are several. Thread-safe.
class GenerationDirectory
{
public:
    using FindHook = std::function<void(std::optional<GenerationRecord>)>;

    explicit GenerationDirectory(EntryParts &parts);

    /// \brief Asks both keepers; \a hook runs once, with the record of the highest attempt.
    void find(std::string_view service, const std::string &account, const std::string &key,
              FindHook hook);
    /// \brief Sends the record to both keepers without waiting for them.
    void store(std::string_view service, const GenerationRecord &record);

private:
    std::vector<std::string> keepers(std::string_view service, std::string_view account,
                                     std::string_view key) const;

    EntryParts &m_parts;
};

} // namespace foxtailring
