#include "Answer.h"

#include <sstream>
#include <vector>

namespace foxtailring::harness {

namespace {

std::vector<std::string> splitWords(const std::string &text)
{
    std::vector<std::string> words;
    std::istringstream stream(text);
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

} // namespace

std::size_t Answer::tokenCount() const
{
    return splitWords(text).size();
}

std::string Answer::generationTag() const
{
    const std::size_t start = text.find_first_not_of(' ');
    if (start == std::string::npos)
        return {};
    return text.substr(start, text.find('.', start) - start);
}

std::optional<std::string> Answer::tokenSequenceError() const
{
    const std::string expectedTag = generationTag();
    std::size_t index = 0;
    for (const std::string &word : splitWords(text)) {
        std::string expected = expectedTag;
        expected.append(".").append(std::to_string(index++));
        if (word != expected)
            return std::string("token ").append(expected).append(" was expected, ").append(word);
    }
    return std::nullopt;
}

std::optional<std::string> Answer::errorUnlessComplete(std::size_t count) const
{
    if (auto error = tokenSequenceError())
        return error;
    if (end != End::Complete)
        return "no complete answer: end " + std::to_string(static_cast<int>(end)) + ", "
            + std::to_string(tokenCount()) + " tokens, " + std::to_string(connections)
            + " connections, status " + std::to_string(status) + ", " + problem;
    if (tokenCount() != count)
        return std::to_string(tokenCount()) + " tokens of " + std::to_string(count);
    return std::nullopt;
}

std::optional<std::string> Answer::errorUnlessUninterrupted(std::size_t count) const
{
    if (interruptions > 0)
        return "the answer was cut " + std::to_string(interruptions) + " times";
    return errorUnlessComplete(count);
}

std::optional<std::string> Answer::errorUnlessTruthful(std::size_t count) const
{
    const bool saysIncomplete =
        end == End::Failed && problem.find("ncomplete") != std::string::npos;
    return saysIncomplete ? tokenSequenceError() : errorUnlessComplete(count);
}

} // namespace foxtailring::harness
