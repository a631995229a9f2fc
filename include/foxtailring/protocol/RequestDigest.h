#pragma once

#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Names the content of a request, so that requests with the same content can be told from
/// all others without keeping them.
///
/// SHA-256: a caller cannot make two requests with one digest, and so cannot have another caller's
/// request taken for its own.
class RequestDigest
{
public:
    /// \brief Digest of a list of fields, each of any content. Starts with `request:`.
    /// Empty if the library fails: the request then has no name.
    static std::string of(std::span<const std::string_view> fields);
    /// \brief True if \a name has the form of a digest. Ids of prompt parts never do.
    static bool isDigest(std::string_view name);
};

} // namespace foxtailring
