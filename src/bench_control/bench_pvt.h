/// \file
/// Measurements of the control traffic among entry VMs and between them and the platform.
#pragma once

namespace damask::bench {

/// Measures the bytes per node and second, and the time until every node knows a change, for each
/// propagation mode. The \p nodes nodes run in this process, over loopback and in real time.
void measureSpread(int nodes, int pools);
/// Measures the same for one propagation mode, after a warm-up of one minute.
void measureSteady(int nodes, int pools);
/// Measures the peak rates of table reads and writes, per second, during and after an outage of the
/// table. All intervals are a tenth of the daemon's, in real time.
void measureTableRecovery(int nodes);

} // namespace damask::bench
