#pragma once

#include <LibObserve/Metrics.h>

namespace GraniteField::Observe {

/// Sets the gauges of the memory and the descriptors that this process takes now. They stay as they are where the
/// system doesn't tell.
void update_process_usage(MetricRegistry&);

}
