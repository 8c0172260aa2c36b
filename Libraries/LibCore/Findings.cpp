#include <LibCore/Findings.h>

namespace GraniteField::Core {

void Findings::add(std::string place, std::string message)
{
    m_findings.push_back({std::move(place), std::move(message)});
}

void Findings::append(Findings const& other)
{
    m_findings.insert(m_findings.end(), other.m_findings.begin(), other.m_findings.end());
}

std::string Findings::to_string() const
{
    std::string text;
    for (auto const& finding : m_findings) {
        if (!text.empty())
            text += '\n';
        text += finding.place + ": " + finding.message;
    }
    return text;
}

}
