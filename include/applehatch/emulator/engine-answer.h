/// The answers of the engine stand-in: a function of the request's body alone.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace applehatch::emulator {

/// Ends every whole stream.
inline constexpr std::string_view streamEnd = "data: [DONE]\n\n";

/// The answer to one body, so that a caller can tell its own whole answer from any other.
class EngineAnswer
{
public:
    /// The number of tokens is `max_tokens`; 16 without it.
    explicit EngineAnswer(std::string_view body);

    [[nodiscard]] auto tokens() const -> std::size_t { return tokens_; }
    [[nodiscard]] auto wantsStream() const -> bool { return stream_; }

    /// The text that all tokens give together.
    [[nodiscard]] auto text() const -> std::string;

    /// One server-sent event; `streamEnd` for the number after the last.
    [[nodiscard]] auto event(std::size_t number) const -> std::string;

    /// The body of a streamed answer.
    [[nodiscard]] auto stream() const -> std::string;

    /// The body of a plain answer.
    [[nodiscard]] auto plain() const -> std::string;

private:
    [[nodiscard]] auto token(std::size_t number) const -> std::string;

    std::string bodyHash_;
    std::size_t tokens_;
    bool stream_ = false;
};

} // namespace applehatch::emulator
