#include "policy.h"
void measure_size(void)
{
}
