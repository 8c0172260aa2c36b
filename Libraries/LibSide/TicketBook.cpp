#include <LibSide/TicketBook.h>

#include <LibCore/Text.h>

#include <vector>

#include <absl/strings/str_split.h>

namespace GraniteField::Side {

namespace {

constexpr std::string_view s_prefix = "gf1-";
constexpr std::size_t s_parts_before_name = 4;
constexpr std::size_t s_longest_ticket = 256;

}

std::string Ticket::to_string() const
{
    return Core::concat(s_prefix, Core::to_hex(side.value()), "-",
        Core::to_hex(static_cast<std::uint64_t>(issued.count())), "-", Core::to_hex(random), "-", backend_server);
}

bool Ticket::looks_like_ticket(std::string_view text)
{
    return text.starts_with(s_prefix);
}

std::optional<Ticket> Ticket::from_string(std::string_view text)
{
    if (!looks_like_ticket(text) || text.size() > s_longest_ticket)
        return std::nullopt;
    std::vector<std::string> const parts
        = absl::StrSplit(Core::to_abseil(text), absl::MaxSplits('-', s_parts_before_name));
    if (parts.size() != s_parts_before_name + 1 || parts[4].empty())
        return std::nullopt;
    auto const side = Core::from_hex(parts[1]);
    auto const issued = Core::from_hex(parts[2]);
    auto const random = Core::from_hex(parts[3]);
    constexpr std::uint64_t s_latest_issue = 1ULL << 50U;
    if (!side || !issued || !random || *issued > s_latest_issue)
        return std::nullopt;
    return Ticket {Core::Incarnation(*side), Core::Milliseconds(static_cast<std::int64_t>(*issued)), *random,
        std::string(parts[4])};
}

TicketBook::Verdict TicketBook::reserve(
    std::string const& workspace, std::string const& text, Core::Milliseconds uptime)
{
    forget_expired(uptime);
    auto const ticket = Ticket::from_string(text);
    if (!ticket)
        return Verdict::Malformed;
    if (ticket->side != m_own)
        return Verdict::OtherIncarnation;
    // A ticket from the future would be remembered for longer than the hold, and so would fill the memory.
    if (ticket->issued > uptime || ticket->issued + m_limits.hold <= uptime)
        return Verdict::Expired;
    auto const key = key_of(workspace, text);
    auto const found = m_uses.find(key);
    if (found != m_uses.end())
        return found->second.state == State::Open ? Verdict::Running : Verdict::Used;
    if (m_uses.size() >= m_limits.largest_count)
        return Verdict::MemoryFull;
    auto const expires = ticket->issued + m_limits.hold;
    m_uses.emplace(key, Use {State::Open, expires, std::nullopt});
    m_by_expiry.emplace(expires, key);
    return Verdict::Reserved;
}

void TicketBook::release(std::string const& workspace, std::string const& ticket)
{
    auto const found = m_uses.find(key_of(workspace, ticket));
    if (found == m_uses.end() || found->second.state != State::Open)
        return;
    auto const [first, last] = m_by_expiry.equal_range(found->second.expires);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second == found->first) {
            m_by_expiry.erase(entry);
            break;
        }
    }
    m_uses.erase(found);
}

void TicketBook::finish(std::string const& workspace, std::string const& ticket, std::optional<KeptAnswer> answer)
{
    auto const key = key_of(workspace, ticket);
    auto const found = m_uses.find(key);
    if (found == m_uses.end())
        return;
    found->second.state = State::Ended;
    if (!answer || answer->payload.size() > m_limits.largest_answer_bytes)
        return;
    m_answer_bytes += answer->payload.size();
    found->second.answer = std::move(answer);
    m_answers.push_back(key);
    drop_oldest_answers();
}

std::optional<KeptAnswer> TicketBook::answer(std::string const& workspace, std::string const& ticket) const
{
    auto const found = m_uses.find(key_of(workspace, ticket));
    if (found == m_uses.end())
        return std::nullopt;
    return found->second.answer;
}

void TicketBook::forget_expired(Core::Milliseconds uptime)
{
    while (!m_by_expiry.empty() && m_by_expiry.begin()->first <= uptime) {
        auto const found = m_uses.find(m_by_expiry.begin()->second);
        m_by_expiry.erase(m_by_expiry.begin());
        if (found == m_uses.end())
            continue;
        if (found->second.answer)
            m_answer_bytes -= found->second.answer->payload.size();
        m_uses.erase(found);
    }
}

void TicketBook::drop_oldest_answers()
{
    while (!m_answers.empty()) {
        auto const found = m_uses.find(m_answers.front());
        bool const is_gone = found == m_uses.end() || !found->second.answer;
        if (!is_gone && m_answer_bytes <= m_limits.largest_total_bytes)
            return;
        m_answers.pop_front();
        if (is_gone)
            continue;
        m_answer_bytes -= found->second.answer->payload.size();
        found->second.answer.reset();
    }
}

}
