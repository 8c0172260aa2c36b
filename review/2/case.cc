// New versions of the config add and take away keys: a tenant comes to hold more than 64 keys, and from then on the
// gateway follows no version any more, so that a key that was taken away stays good.
#include "../standins/standins.hpp"

using namespace Review;

namespace {

constexpr long s_apply_ms = 2'000;
constexpr long s_contact_ms = 3'000;

std::string key_of(int number)
{
    return "key-of-branch-" + std::to_string(number);
}

Json config(int version, int first_key, int last_key)
{
    Json keys = Json::array();
    for (int number = first_key; number <= last_key; ++number)
        keys.push_back(key_of(number));
    return {{"version", version},
        {"routes",
            {{{"name", "r-status"}, {"host", "shop.example"}, {"path_prefix", "/status/"}, {"kind", "safe"},
                {"timeout_ms", 5'000}, {"latency_slo_ms", 2'000}, {"prio", 0}, {"service", "status"}, {"attempts", 1},
                {"no_auth", false}}}},
        {"services", {{{"name", "status"}, {"health_path", "/health"}, {"max_conns", 110}, {"proto", "h1"}}}},
        {"limits",
            {{"max_header_bytes", 16'384}, {"max_body_bytes", 4'194'304}, {"header_timeout_ms", 3'000},
                {"idle_timeout_ms", 15'000}}},
        {"tenants", {{{"name", "tenant1"}, {"api_keys", keys}, {"prio", 1}}}}};
}

}

int main(int, char** arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::string const folder = arguments[2];
    bool const trouble = has_trouble();

    Store store;
    Runner runner(record, "i-status1", 10);
    store.put("config", "main", config(7, 1, 60));
    store.put("servers", runner.id(), runner.entry("status", "hall-a"));

    Gateway::Settings settings;
    settings.store_port = store.port();
    settings.seeds = {settings.peer_port};
    Gateway gateway(settings, folder);
    if (!gateway.start() || !gateway.wait_until_ready(10'000)) {
        record.line("the gateway did not become ready");
        return 2;
    }
    sleep_ms(s_contact_ms + 1'000);

    int next = 0;
    auto const ask = [&](std::string const& key) {
        ConsumerRequest request;
        request.id = "req-" + std::to_string(++next);
        request.method = "GET";
        request.path = "/status/" + std::to_string(next);
        request.key = key;
        auto const channel = Channel::connect(gateway.caller_port());
        auto const status = channel ? send_request(*channel, request).status : 0;
        bool const has_run = runner.runs().contains(request.id);
        record.line(request.id, " with '", key, "' got ", status, has_run ? ", was run" : ", was not run");
        return std::pair(status, has_run);
    };

    record.line("version 7: the keys 1 to 60 of tenant1 hold");
    if (ask(key_of(1)).first != 200 || ask(key_of(60)).first != 200) {
        record.line("the first version does not hold");
        return 2;
    }
    // The key 1 is taken away in both cases; with the disruption the same version adds ten keys.
    int const last_key = trouble ? 70 : 60;
    store.put("config", "main", config(9, 2, last_key));
    auto const acknowledged = now_ms();
    record.line("version 9 is acknowledged: the key 1 is taken away, the keys 2 to ", last_key, " hold");
    sleep_ms(acknowledged + s_apply_ms + 1'000 - now_ms());

    int run_with_dropped_key = 0;
    int refused_with_held_key = 0;
    for (int count = 0; count < 10; ++count) {
        run_with_dropped_key += ask(key_of(1)).second ? 1 : 0;
        refused_with_held_key += ask(key_of(last_key)).first == 401 ? 1 : 0;
        sleep_ms(500);
    }
    record.line("sent later than apply_ms after the ack: run with a dropped key ", run_with_dropped_key,
        ", refused with 401 though the key is there ", refused_with_held_key);
    bool const is_broken = run_with_dropped_key + refused_with_held_key > 0;
    record.line(is_broken ? "CONFIG is broken" : "CONFIG holds");
    return is_broken ? 1 : 0;
}
