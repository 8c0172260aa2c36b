#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace GraniteField::Observe {

/// What became of a request, as its caller saw it.
struct RequestFate {
    /// `in-time`, or one of a few short reasons why it was not.
    std::string reason;
    std::string request_class;
    /// The backend server that it was sent to last; empty for none.
    std::string server;
    /// Since the first line of all, in whole seconds.
    std::int64_t second {0};
    /// Time until the first piece that was predicted at the last choice; unset for one that was never sent.
    std::optional<Core::Milliseconds> predicted_wait;
    /// Until the first piece, since the request came; unset where none came.
    std::optional<Core::Milliseconds> first_piece;
};

/// Joins the structured logs of gateways request by request and says where requests were not answered in time.
class LossReport {
public:
    static constexpr std::string_view s_in_time = "in-time";

    /// Takes the lines of one gateway's log; what is no structured line is passed over.
    void read(std::istream&);

    /// The fate of each request that has ended, in the order of the ends.
    [[nodiscard]] std::vector<RequestFate> const& fates() const { return m_fates; }

    /// How often each reason occurred, by what `key` gives for a fate.
    template <typename Key>
    [[nodiscard]] std::map<std::string, std::map<std::string, std::size_t>> count_by(Key key) const
    {
        std::map<std::string, std::map<std::string, std::size_t>> counts;
        for (auto const& fate : m_fates)
            ++counts[key(fate)][fate.reason];
        return counts;
    }

private:
    void take(nlohmann::json const& line);
    void take_dispatch(nlohmann::json const& line);
    void take_end(nlohmann::json const& line);

    std::optional<std::int64_t> m_first_time;
    /// By request: what the last choice predicted.
    std::map<std::string, Core::Milliseconds> m_predictions;
    std::vector<RequestFate> m_fates;
};

}
