#ifndef EELGRASSBEND_ENTRY_SERVING_SERVICE_H
#define EELGRASSBEND_ENTRY_SERVING_SERVICE_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/routing/hedge_policy.h"
#include "eelgrassbend/serving/entry_handler.h"
#include "eelgrassbend/serving/serving_services.h"
#include "eelgrassbend/settings/entry_settings.h"

namespace eelgrassbend {

/// The request front of an entry node and its dependencies.
class serving_service : public service {
public:
    serving_service(const entry_settings& settings, const resolved_services& dependencies);

    [[nodiscard]] entry_handler& request_handler() { return this->handler; }

private:
    serving_settings settings;
    budgeted_hedge_policy hedges;
    serving_services services;
    entry_handler handler;
};

} // namespace eelgrassbend

#endif
