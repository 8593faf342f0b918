#include <stdio.h>
#include <string.h>

#include "pk.h"
#include "table.h"

/*
 * What it costs to pack a small message, as an order to a worker is, and to read
 * it again. The baseline is a twentieth of what a task may take of a leader.
 */

#define MESSAGES 200000
#define MESSAGE_US 4.0

int main(void)
{
	double from = bench_now_ms();
	uint64_t sum = 0;
	int i;

	for (i = 0; i < MESSAGES; i++) {
		struct pk_out o;
		struct pk_in in;

		pk_out_init(&o);
		pk_arr(&o, 4);
		pk_u(&o, (uint64_t)i);
		pk_cstr(&o, "5c0e7a21d94b36f8.0.1.17");
		pk_cstr(&o, "10.1.64.138:8586");
		pk_bool(&o, true);
		if (pk_in_init(&in, pk_out_view(&o)))
			sum += pk_get_u(&in);
		pk_in_done(&in);
		pk_out_done(&o);
	}
	printf("pk/small/pack-and-read\t%.3f\tus\t%.1f\n",
	       (bench_now_ms() - from) * 1000 / MESSAGES, MESSAGE_US);
	return sum == 0;
}
