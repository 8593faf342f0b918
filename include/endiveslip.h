#ifndef ENDIVESLIP_H
#define ENDIVESLIP_H

/* The one place the version stands; the Makefile reads it from here. */
#define ES_VERSION "0.1.0"

#endif
