/// \file
/// Arithmetic of the extra-load budget.
#include "ragwortcart/Kernel/ExtraLoadBudget.h"

#include <algorithm>

namespace ragwort {

/// Bounds the burst of extra load after a quiet time.
static constexpr double MAXIMUM_CREDIT = 20.0;

void ExtraLoadBudget::earn(double rate)
{
    this->credit = std::min(MAXIMUM_CREDIT, this->credit + rate);
}

bool ExtraLoadBudget::spend()
{
    if (this->credit < 1.0) {
        ++this->denied;
        return false;
    }
    this->credit -= 1.0;
    ++this->taken;
    return true;
}

} // namespace ragwort
