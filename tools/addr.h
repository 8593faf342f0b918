#ifndef ADDR_H
#define ADDR_H

#include <stdint.h>

char *addr_split(const char *addr, uint16_t *port);
char *addr_plus(const char *addr, unsigned by);

#endif
