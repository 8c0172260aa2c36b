#include <LibObserve/ProcessUsage.h>

#include <filesystem>
#include <fstream>
#include <system_error>

#include <unistd.h>

namespace GraniteField::Observe {

namespace {

void update_resident_memory(MetricRegistry& metrics)
{
    std::ifstream file("/proc/self/statm");
    std::int64_t total_pages = 0;
    std::int64_t resident_pages = 0;
    if (file >> total_pages >> resident_pages)
        metrics.gauge("granitefield_process_resident_bytes").set(resident_pages * ::sysconf(_SC_PAGESIZE));
}

void update_open_descriptors(MetricRegistry& metrics)
{
    std::error_code error;
    std::int64_t count = 0;
    std::filesystem::directory_iterator item("/proc/self/fd", error);
    for (; !error && item != std::filesystem::directory_iterator(); item.increment(error))
        ++count;
    // The one that reads the directory counts as well.
    if (!error && count > 0)
        metrics.gauge("granitefield_process_open_descriptors").set(count - 1);
}

}

void update_process_usage(MetricRegistry& metrics)
{
    update_resident_memory(metrics);
    update_open_descriptors(metrics);
}

}
