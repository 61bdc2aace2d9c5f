#include "bench/decide/table.h"
bool table_write(void)
{
	return false;
}
