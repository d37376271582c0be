#ifndef EELGRASSBEND_BENCH_EXPERIMENTS_H
#define EELGRASSBEND_BENCH_EXPERIMENTS_H

#include "experiment.h"

#include <memory>
#include <vector>

namespace eelgrassbend::bench {

/// Each experiment has its factory in the source file of its name.
using experiment_list = std::vector<std::unique_ptr<experiment>>;

std::unique_ptr<experiment> make_audit_experiment();
std::unique_ptr<experiment> make_load_experiment();
std::unique_ptr<experiment> make_routing_experiment();
std::unique_ptr<experiment> make_claims_experiment();
std::unique_ptr<experiment> make_ledger_experiment();
std::unique_ptr<experiment> make_membership_experiment();
std::unique_ptr<experiment> make_dissemination_experiment();
std::unique_ptr<experiment> make_decision_experiment();

} // namespace eelgrassbend::bench

#endif
