/* kv.c - what all key-value services have in common; see kv.h. */
#include "kv/kv.h"

int64_t
kv_era(kv_t *kv)
{
    return kv->ops->era != NULL ? kv->ops->era(kv) : 0;
}
