#include "locator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace applehatch::settings {

namespace {

/// Scans a text that the JSON library has accepted; does not validate the syntax itself.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_(text)
    { }

    auto run() -> Locations
    {
        value("", 0);
        return std::move(locations_);
    }

private:
    auto done() const -> bool { return position_ >= text_.size() || locations_.tooDeep; }

    auto advance() -> char
    {
        const auto character = text_[position_++];
        line_ += character == '\n' ? 1 : 0;
        return character;
    }

    auto skipTo(std::string_view end) -> void
    {
        const auto found = text_.find(end, position_);
        const auto stop = found == std::string_view::npos ? text_.size() : found + end.size();
        while (position_ < stop) {
            advance();
        }
    }

    /// Skips whitespace, comments, colons and commas.
    auto skipSeparators() -> void
    {
        constexpr std::string_view separators = " \t\r\n:,";
        while (!done()) {
            if (text_.substr(position_, 2) == "//") {
                skipTo("\n");
            } else if (text_.substr(position_, 2) == "/*") {
                position_ += 2;
                skipTo("*/");
            } else if (separators.find(text_[position_]) != std::string_view::npos) {
                advance();
            } else {
                return;
            }
        }
    }

    /// Skips a string and returns its source text, including the quotes.
    auto string() -> std::string
    {
        const auto start = position_;
        advance();
        while (!done()) {
            const auto character = advance();
            if (character == '\\') {
                advanceUnlessDone();
            } else if (character == '"') {
                break;
            }
        }
        return std::string(text_.substr(start, position_ - start));
    }

    auto key() -> std::string
    {
        const auto decoded = nlohmann::json::parse(string(), nullptr, false);
        return decoded.is_string() ? decoded.get<std::string>() : std::string();
    }

    auto object(const std::string &path, std::size_t depth) -> void
    {
        advance();
        for (skipSeparators(); !done() && text_[position_] != '}'; skipSeparators()) {
            const auto line = line_;
            const auto child = joinPath(path, key());
            const auto [first, added] = locations_.lines.emplace(child, line);
            if (!added) {
                locations_.duplicates.push_back({child, line, first->second});
            }
            skipSeparators();
            value(child, depth + 1);
        }
        advanceUnlessDone();
    }

    auto array(const std::string &path, std::size_t depth) -> void
    {
        advance();
        std::size_t element = 0;
        for (skipSeparators(); !done() && text_[position_] != ']'; skipSeparators()) {
            const auto child = joinPath(path, element++);
            locations_.lines.emplace(child, line_);
            value(child, depth + 1);
        }
        advanceUnlessDone();
    }

    auto advanceUnlessDone() -> void
    {
        if (!done()) {
            advance();
        }
    }

    // `maxDepth` bounds the recursion; otherwise a megabyte of brackets would exhaust the stack of
    // every process that reads the subtree.
    auto value(const std::string &path, std::size_t depth) -> void
    {
        skipSeparators();
        if (done()) {
            return;
        }
        const auto first = text_[position_];
        if ((first == '{' || first == '[') && depth >= maxDepth) {
            locations_.tooDeep = true;
            locations_.tooDeepLine = line_;
        } else if (first == '{') {
            object(path, depth);
        } else if (first == '[') {
            array(path, depth);
        } else if (first == '"') {
            string();
        } else {
            literal();
        }
    }

    auto literal() -> void
    {
        constexpr std::string_view terminators = " \t\r\n:,]}/";
        while (!done() && terminators.find(text_[position_]) == std::string_view::npos) {
            advance();
        }
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::uint32_t line_ = 1;
    Locations locations_;
};

} // namespace

auto joinPath(const std::string &path, const std::string &key) -> std::string
{
    return path.empty() ? key : path + '.' + key;
}

auto joinPath(const std::string &path, std::size_t element) -> std::string
{
    return path + '[' + std::to_string(element) + ']';
}

auto lineAt(std::string_view text, std::size_t offset) -> std::uint32_t
{
    const auto before = text.substr(0, std::min(offset, text.size()));
    return static_cast<std::uint32_t>(std::count(before.begin(), before.end(), '\n')) + 1;
}

auto locate(std::string_view text) -> Locations
{
    return Scanner(text).run();
}

} // namespace applehatch::settings
