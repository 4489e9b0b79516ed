/// \file
/// Implements the extra-load budget.
#include "ragwortcart/Kernel/ExtraLoadBudget.h"

#include <algorithm>

namespace ragwort {

void ExtraLoadBudget::setMaximum(double maximumCredit)
{
    this->maximum = maximumCredit;
    this->credit = std::min(this->credit, maximumCredit);
}

void ExtraLoadBudget::earn(double rate)
{
    this->credit = std::min(this->maximum, this->credit + rate);
}

bool ExtraLoadBudget::spend()
{
    if (this->credit < 1.0) {
        ++this->refusedCount;
        return false;
    }
    this->credit -= 1.0;
    ++this->spentCount;
    return true;
}

} // namespace ragwort
