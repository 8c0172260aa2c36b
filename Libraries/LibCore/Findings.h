#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace GraniteField::Core {

/// One thing that is wrong with an input, and where it stands (a JSON pointer, or `sheet/row/column`).
struct Finding {
    std::string place;
    std::string message;

    bool operator==(Finding const&) const = default;
};

/// Everything that is wrong with one input. Checks add to it and go on, so that an operator sees all
/// mistakes at once.
class Findings {
public:
    void add(std::string place, std::string message);
    void append(Findings const&);

    [[nodiscard]] bool is_empty() const { return m_findings.empty(); }
    [[nodiscard]] std::vector<Finding> const& all() const { return m_findings; }

    /// One line for each finding: `place: message`.
    [[nodiscard]] std::string to_string() const;

private:
    std::vector<Finding> m_findings;
};

/// Thrown when an input as a whole is rejected because of its findings.
class InvalidInput : public std::runtime_error {
public:
    explicit InvalidInput(Findings findings)
        : std::runtime_error(findings.to_string())
        , m_findings(std::move(findings))
    {
    }

    [[nodiscard]] Findings const& findings() const { return m_findings; }

private:
    Findings m_findings;
};

}
