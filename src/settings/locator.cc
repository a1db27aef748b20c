#include "locator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace applehatch::settings {

namespace {

/// Walks a text that the JSON library has accepted; it checks nothing itself.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_(text)
    { }

    auto run() -> Locations
    {
        value("", 0);
        return std::move(found_);
    }

private:
    auto done() const -> bool { return at_ >= text_.size() || found_.tooDeep; }

    auto step() -> char
    {
        const auto letter = text_[at_++];
        line_ += letter == '\n' ? 1 : 0;
        return letter;
    }

    auto skipTo(std::string_view end) -> void
    {
        const auto found = text_.find(end, at_);
        const auto stop = found == std::string_view::npos ? text_.size() : found + end.size();
        while (at_ < stop) {
            step();
        }
    }

    /// Passes over blanks, comments, colons and commas.
    auto skipBetween() -> void
    {
        constexpr std::string_view between = " \t\r\n:,";
        while (!done()) {
            if (text_.substr(at_, 2) == "//") {
                skipTo("\n");
            } else if (text_.substr(at_, 2) == "/*") {
                at_ += 2;
                skipTo("*/");
            } else if (between.find(text_[at_]) != std::string_view::npos) {
                step();
            } else {
                return;
            }
        }
    }

    /// Passes over a string and gives it as it stands, with its quotes.
    auto string() -> std::string
    {
        const auto start = at_;
        step();
        while (!done()) {
            const auto letter = step();
            if (letter == '\\') {
                close();
            } else if (letter == '"') {
                break;
            }
        }
        return std::string(text_.substr(start, at_ - start));
    }

    auto key() -> std::string
    {
        const auto decoded = nlohmann::json::parse(string(), nullptr, false);
        return decoded.is_string() ? decoded.get<std::string>() : std::string();
    }

    auto object(const std::string &path, std::size_t depth) -> void
    {
        step();
        for (skipBetween(); !done() && text_[at_] != '}'; skipBetween()) {
            const auto line = line_;
            const auto child = joinPath(path, key());
            const auto [first, added] = found_.lines.emplace(child, line);
            if (!added) {
                found_.duplicates.push_back({child, line, first->second});
            }
            skipBetween();
            value(child, depth + 1);
        }
        close();
    }

    auto array(const std::string &path, std::size_t depth) -> void
    {
        step();
        std::size_t element = 0;
        for (skipBetween(); !done() && text_[at_] != ']'; skipBetween()) {
            const auto child = joinPath(path, element++);
            found_.lines.emplace(child, line_);
            value(child, depth + 1);
        }
        close();
    }

    auto close() -> void
    {
        if (!done()) {
            step();
        }
    }

    // The recursion is bounded by `maxDepth`; without it a megabyte of brackets would exhaust the
    // stack of every process that reads the subtree.
    auto value(const std::string &path, std::size_t depth) -> void
    {
        skipBetween();
        if (done()) {
            return;
        }
        const auto first = text_[at_];
        if ((first == '{' || first == '[') && depth >= maxDepth) {
            found_.tooDeep = true;
            found_.tooDeepLine = line_;
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
        constexpr std::string_view ends = " \t\r\n:,]}/";
        while (!done() && ends.find(text_[at_]) == std::string_view::npos) {
            step();
        }
    }

    std::string_view text_;
    std::size_t at_ = 0;
    std::uint32_t line_ = 1;
    Locations found_;
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
