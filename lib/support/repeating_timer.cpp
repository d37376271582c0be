#include "eelgrassbend/support/repeating_timer.h"

#include <cassert>
#include <utility>

namespace eelgrassbend {

repeating_timer::~repeating_timer()
{
    if (this->timer) {
        this->time.cancel(*this->timer);
    }
}

void repeating_timer::start(scheduler::callback repeated)
{
    assert(!this->timer && "started once");
    this->action = std::move(repeated);
    this->arm();
}

void repeating_timer::arm()
{
    this->timer = this->time.call_after(this->pause, [this] {
        this->arm();
        this->action();
    });
}

} // namespace eelgrassbend
