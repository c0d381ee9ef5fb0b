/* test_signals.c - signals to an agated process that is starting. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "regress/fixture.h"

enum { PATH_BYTES = 64, LINE_BYTES = 512 };

typedef struct {
    char folder[PATH_BYTES];
    char settings[PATH_BYTES + 16];
    int out; /* read end of its standard output and standard error */
    pid_t pid;
} process_t;

static const char settings_text[] =
    "host = \"h1\"\nzone = \"a\"\n[listen]\naddress = \"127.0.0.1:0\"\n"
    "[platform]\nkind = \"platform\"\naddresses = [\"127.0.0.1:1\"]\n"
    "[gateway]\nreadiness = \"127.0.0.1:0\"\nlookup = \"127.0.0.1:0\"\n"
    "peers = \"127.0.0.1:0\"\n";

static void
make_folder(process_t *process)
{
    (void)snprintf(process->folder, sizeof(process->folder),
                   "/tmp/agatevale-signals-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(process->folder));
    (void)snprintf(process->settings, sizeof(process->settings), "%s/settings",
                   process->folder);
}

/* blocked: with a SIGHUP that is blocked and pending. */
static void
start(process_t *process, const int ends[2], bool blocked)
{
    sigset_t set;

    process->out = ends[0];
    process->pid = fork();
    ck_assert_int_ge(process->pid, 0);
    if (process->pid > 0) {
        (void)close(ends[1]);
        return;
    }
    (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
    (void)signal(SIGHUP, SIG_DFL); /* may be ignored, as under nohup(1) */
    (void)dup2(ends[1], STDOUT_FILENO);
    (void)dup2(ends[1], STDERR_FILENO);
    if (blocked) {
        (void)sigemptyset(&set);
        (void)sigaddset(&set, SIGHUP);
        (void)sigprocmask(SIG_BLOCK, &set, NULL);
        (void)raise(SIGHUP);
    }
    (void)execl(AGATED, AGATED, "-f", process->settings, NULL);
    _exit(127);
}

static void
remove_folder(const process_t *process)
{
    (void)close(process->out);
    (void)unlink(process->settings);
    (void)rmdir(process->folder);
}

/* So that whoever writes to it waits. */
static void
fill_pipe(int fd)
{
    int flags = fcntl(fd, F_GETFL);

    (void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    while (write(fd, "", 1) == 1) {
    }
    (void)fcntl(fd, F_SETFL, flags);
}

/* It waits to report that its settings are no regular file. */
START_TEST(test_sighup_does_not_end_a_starting_host)
{
    process_t process;
    char room[LINE_BYTES];
    int status;
    int ends[2];
    int fd;

    make_folder(&process);
    ck_assert_int_eq(mkfifo(process.settings, 0600), 0);
    ck_assert_int_eq(pipe2(ends, O_CLOEXEC), 0);
    fill_pipe(ends[1]);
    start(&process, ends, false);
    fd = open(process.settings, O_WRONLY | O_CLOEXEC);
    ck_assert_int_ge(fd, 0);
    (void)kill(process.pid, SIGHUP);
    while (read(process.out, room, sizeof(room)) > 0) {
    }
    ck_assert_int_eq(waitpid(process.pid, &status, 0), process.pid);
    ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == EXIT_FAILURE,
                  "status %d", status);
    (void)close(fd);
    remove_folder(&process);
}
END_TEST

START_TEST(test_sighup_before_the_start_is_handled_after_it)
{
    process_t process;
    char line[LINE_BYTES] = "";
    bool reloaded = false;
    int ends[2];
    FILE *file;

    make_folder(&process);
    file = fopen(process.settings, "we");
    ck_assert_ptr_nonnull(file);
    (void)fputs(settings_text, file);
    ck_assert_int_eq(fclose(file), 0);
    ck_assert_int_eq(pipe2(ends, O_CLOEXEC), 0);
    start(&process, ends, true);
    file = fdopen(process.out, "r");
    ck_assert_ptr_nonnull(file);
    while (!reloaded && fgets(line, sizeof(line), file) != NULL) {
        reloaded = strstr(line, "limits=in-force") != NULL;
    }
    ck_assert_msg(reloaded, "not reloaded: %s", line);
    (void)kill(process.pid, SIGKILL);
    (void)waitpid(process.pid, NULL, 0);
    (void)fclose(file);
    process.out = -1;
    remove_folder(&process);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("signals");

    tcase_add_test(tcase, test_sighup_does_not_end_a_starting_host);
    tcase_add_test(tcase, test_sighup_before_the_start_is_handled_after_it);
    return fixture_main("signals", tcase);
}
