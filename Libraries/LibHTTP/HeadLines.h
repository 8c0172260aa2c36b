#pragma once

#include <LibHTTP/HttpClient.h>

#include <string_view>

namespace GraniteField::HTTP {

/// The head of an answer, from the lines that libcurl passes to a header callback. A connection that closes inside a
/// head is no error to libcurl, so only the empty line tells that the head is complete.
class HeadLines {
public:
    void add(std::string_view line);

    /// Whether a line is invalid. What follows it is not read.
    [[nodiscard]] bool is_invalid() const { return m_is_invalid; }
    /// Whether the head of the final answer has ended. Interim answers (1xx) have heads of their own.
    [[nodiscard]] bool is_complete() const { return m_is_complete; }
    /// Fields of the final head, without those of interim answers and trailers.
    [[nodiscard]] Headers const& fields() const { return m_fields; }

private:
    void read_status_line(std::string_view);
    void read_field_line(std::string_view);

    Headers m_fields;
    bool m_expects_status_line {true};
    bool m_is_interim {false};
    bool m_is_complete {false};
    bool m_is_invalid {false};
};

}
