#include "Answer.h"

#include <sstream>
#include <vector>

namespace foxtailring::harness {

namespace {

std::vector<std::string> wordsOf(const std::string &text)
{
    std::vector<std::string> words;
    std::istringstream stream(text);
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

} // namespace

std::size_t Answer::tokens() const
{
    return wordsOf(text).size();
}

std::string Answer::tag() const
{
    const std::size_t start = text.find_first_not_of(' ');
    if (start == std::string::npos)
        return {};
    return text.substr(start, text.find('.', start) - start);
}

std::optional<std::string> Answer::faultInTokens() const
{
    const std::string expectedTag = tag();
    std::size_t index = 0;
    for (const std::string &word : wordsOf(text)) {
        std::string expected = expectedTag;
        expected.append(".").append(std::to_string(index++));
        if (word != expected)
            return std::string("token ").append(expected).append(" was expected, ").append(word);
    }
    return std::nullopt;
}

std::optional<std::string> Answer::faultUnlessWhole(std::size_t count) const
{
    if (auto fault = faultInTokens())
        return fault;
    if (end != End::Whole)
        return "no whole answer: end " + std::to_string(static_cast<int>(end)) + ", "
            + std::to_string(tokens()) + " tokens, " + std::to_string(connections)
            + " connections, status " + std::to_string(status) + ", " + problem;
    if (tokens() != count)
        return std::to_string(tokens()) + " tokens of " + std::to_string(count);
    return std::nullopt;
}

std::optional<std::string> Answer::faultUnlessUncut(std::size_t count) const
{
    if (cuts > 0)
        return "the answer was cut " + std::to_string(cuts) + " times";
    return faultUnlessWhole(count);
}

std::optional<std::string> Answer::faultUnlessTruthful(std::size_t count) const
{
    const bool saysIncomplete =
        end == End::Failed && problem.find("ncomplete") != std::string::npos;
    return saysIncomplete ? faultInTokens() : faultUnlessWhole(count);
}

} // namespace foxtailring::harness
