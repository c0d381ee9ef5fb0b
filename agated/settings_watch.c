/* settings_watch.c - reloads the settings file when it changes. */
#include <stdlib.h>
#include <sys/stat.h>

#include "agated/settings_watch.h"
#include "base/log.h"

struct settings_watch {
    uv_timer_t *timer;
    char *path;
    settings_change_cb_t on_change;
    void *context;
    struct stat last_stat; /* when the file was last read */
};

static bool file_differs(const struct stat *a, const struct stat *b);
static void on_poll_timer(uv_timer_t *timer);

settings_watch_t *
settings_watch_new(uv_loop_t *loop, const char *path, uint32_t interval_ms,
                   settings_change_cb_t on_change, void *context)
{
    settings_watch_t *watch = xcalloc(1, sizeof(*watch));

    watch->path = xstrdup(path);
    watch->on_change = on_change;
    watch->context = context;
    (void)stat(path, &watch->last_stat);
    watch->timer = xcalloc(1, sizeof(*watch->timer));
    (void)uv_timer_init(loop, watch->timer);
    watch->timer->data = watch;
    (void)uv_timer_start(watch->timer, on_poll_timer, interval_ms,
                         interval_ms);
    return watch;
}

void
settings_watch_free(settings_watch_t *watch)
{
    if (watch == NULL) {
        return;
    }
    uv_close((uv_handle_t *)watch->timer, (uv_close_cb)free);
    free(watch->path);
    free(watch);
}

void
settings_watch_reload(settings_watch_t *watch)
{
    arena_t arena = {0};
    settings_t settings;
    err_t err;

    if (settings_read(&settings, &arena, watch->path, &err) < 0) {
        log_event(LOG_ERR, "reload-failed", "reason=\"%s\"", err.message);
    }
    else {
        watch->on_change(watch->context, &settings);
    }
    arena_free(&arena);
}

/* A missing file is ignored: it is being replaced. */
static void
on_poll_timer(uv_timer_t *timer)
{
    settings_watch_t *watch = timer->data;
    struct stat current;

    if (stat(watch->path, &current) < 0 ||
        !file_differs(&current, &watch->last_stat)) {
        return;
    }
    watch->last_stat = current;
    settings_watch_reload(watch);
}

static bool
file_differs(const struct stat *a, const struct stat *b)
{
    return a->st_ino != b->st_ino || a->st_size != b->st_size ||
           a->st_mtim.tv_sec != b->st_mtim.tv_sec ||
           a->st_mtim.tv_nsec != b->st_mtim.tv_nsec;
}
