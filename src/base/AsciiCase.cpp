#include "foxtailring/base/AsciiCase.h"

#include <algorithm>

namespace foxtailring {

namespace {

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

// Not boost::beast::iequals(): that of Boost 1.74 reads one character beyond the end of texts that
// differ in case.
bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return toLower(x) == toLower(y); });
}

} // namespace foxtailring
