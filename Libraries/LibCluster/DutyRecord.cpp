#include <LibCluster/DutyRecord.h>

namespace GraniteField::Cluster {

using Platform::Json;

namespace {

Json encode_report(RecordedReport const& recorded)
{
    return {{"window", recorded.report.window.value()}, {"counts", recorded.report.counts},
        {"accepted", recorded.is_accepted}};
}

RecordedReport decode_report(Json const& json)
{
    RecordedReport recorded;
    recorded.report.window = UsageWindow(json.at("window").get<std::uint64_t>());
    recorded.report.counts = json.at("counts").get<UsageCounts>();
    recorded.is_accepted = json.at("accepted").get<bool>();
    return recorded;
}

}

Json encode_duty_record(DutyRecord const& record)
{
    auto reports = Json::array();
    for (auto const& report : record.reports)
        reports.push_back(encode_report(report));
    return {{"holder", record.holder}, {"term", record.term}, {"token", record.token}, {"renewal", record.renewal},
        {"released", record.is_released}, {"recent-holders", record.recent_holders},
        {"recorded-through", record.recorded_through.value()}, {"reports", std::move(reports)}};
}

std::optional<DutyRecord> decode_duty_record(Json const& json)
{
    try {
        DutyRecord record;
        record.holder = json.at("holder").get<std::string>();
        record.term = json.at("term").get<std::uint64_t>();
        record.token = json.at("token").get<std::uint64_t>();
        record.renewal = json.at("renewal").get<std::uint64_t>();
        record.is_released = json.at("released").get<bool>();
        record.recent_holders = json.at("recent-holders").get<std::vector<std::string>>();
        record.recorded_through = UsageWindow(json.at("recorded-through").get<std::uint64_t>());
        for (auto const& report : json.at("reports"))
            record.reports.push_back(decode_report(report));
        return record;
    } catch (Json::exception const&) {
        return std::nullopt;
    }
}

}
