// loomreachd: the daemon of an entry host. Reads its configuration, starts, and shuts down gracefully on SIGTERM or SIGINT.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/EntryHost.h>
#include <Loomreach/Entry/JobHost.h>
#include <platform/PlatformHub.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <gflags/gflags.h>
#include <glib-unix.h>

DEFINE_string(config, "", "The daemon's configuration file (TOML).");
DEFINE_string(jobs_config_env, "",
			  "Take jobs on the platform; the named variable of the environment holds the path of the configuration (TOML).");
DEFINE_bool(check_config, false, "Check the configuration and exit.");

namespace
{

using namespace Loomreach;

/// The running entry host.
struct Program
{
	EntryHost *host = nullptr;
	GMainLoop *loop = nullptr;
	bool stopping = false;
};

int PrintError()
{
	std::fprintf(stderr, "loomreachd: %s\n", LastReasonText().c_str());
	return AnswerOf(LastReason().kind).exit_code;
}

gboolean OnSignal(gpointer inProgram)
{
	Program *program = static_cast<Program *>(inProgram);
	// A second signal ends the process at once
	if (program->stopping)
	{
		LogPlain(ELogLevel::Warning, "stop_forced");
		std::_Exit(1);
	}
	program->stopping = true;
	program->host->Stop([program] { g_main_loop_quit(program->loop); });
	return G_SOURCE_CONTINUE;
}

/// The running host of jobs on the platform.
struct JobProgram
{
	Jobs::JobHost<Jobs::Platform::PlatformHub> *host = nullptr;
	GMainLoop *loop = nullptr;
	bool stopping = false;
};

gboolean OnJobSignal(gpointer inProgram)
{
	JobProgram *program = static_cast<JobProgram *>(inProgram);
	if (program->stopping)
		return G_SOURCE_CONTINUE;
	program->stopping = true;
	program->host->Stop([program] { g_main_loop_quit(program->loop); });
	return G_SOURCE_CONTINUE;
}

/// SIGHUP changes nothing: no setting can change while the process runs, and what the platform adds is read at the next start.
gboolean OnJobReload(gpointer)
{
	LogPlain(ELogLevel::Info, "reload");
	return G_SOURCE_CONTINUE;
}

std::optional<Jobs::JobHostConfig> ReadJobConfig()
{
	const char *path = std::getenv(FLAGS_jobs_config_env.c_str());
	if (path == nullptr)
		return Fail(EError::BadConfig, "the variable " + FLAGS_jobs_config_env + " is not set");
	const std::optional<std::string> text = ReadFile(path);
	if (!text.has_value())
		return std::nullopt;
	return Jobs::ParseJobHostConfig(*text, path);
}

int RunJobs(const char *inProgram)
{
	std::optional<Jobs::JobHostConfig> config = ReadJobConfig();
	if (!config.has_value())
		return PrintError();
	if (FLAGS_check_config)
		return 0;
	StartLogging(inProgram, ELogTo::StandardOutput);
	std::signal(SIGPIPE, SIG_IGN);
	Jobs::JobHost<Jobs::Platform::PlatformHub> host(std::move(*config));
	if (!host.Start())
	{
		StopLogging();
		return PrintError();
	}
	JobProgram program{&host, g_main_loop_new(nullptr, FALSE), false};
	g_unix_signal_add(SIGTERM, &OnJobSignal, &program);
	g_unix_signal_add(SIGINT, &OnJobSignal, &program);
	g_unix_signal_add(SIGHUP, &OnJobReload, &program);
	g_main_loop_run(program.loop);
	g_main_loop_unref(program.loop);
	StopLogging();
	return 0;
}

std::optional<DaemonConfig> ReadConfig()
{
	if (FLAGS_config.empty())
		return Fail(EError::BadConfig, "--config=FILE is missing");
	const std::optional<std::string> text = ReadFile(FLAGS_config);
	if (!text.has_value())
		return std::nullopt;
	gchar *directory = g_path_get_dirname(FLAGS_config.c_str());
	std::optional<DaemonConfig> config = ParseDaemonConfig(*text, FLAGS_config, directory);
	g_free(directory);
	return config;
}

} // namespace

int main(int argc, char **argv)
{
	gflags::SetUsageMessage("One entry host of loomreach.\n  loomreachd --config=FILE [--check_config]");
	gflags::SetVersionString("0.1.0");
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	if (!FLAGS_jobs_config_env.empty())
		return RunJobs(argv[0]);
	std::optional<DaemonConfig> config = ReadConfig();
	if (!config.has_value())
		return PrintError();
	if (FLAGS_check_config)
	{
		std::printf("%s: good\n", FLAGS_config.c_str());
		return 0;
	}
	StartLogging(argv[0]);
	// Writing to a connection that its caller has closed must not end the process
	std::signal(SIGPIPE, SIG_IGN);
	EntryHost host(std::move(*config));
	if (!host.Start())
		return PrintError();
	Program program{&host, g_main_loop_new(nullptr, FALSE), false};
	g_unix_signal_add(SIGTERM, &OnSignal, &program);
	g_unix_signal_add(SIGINT, &OnSignal, &program);
	g_main_loop_run(program.loop);
	g_main_loop_unref(program.loop);
	return 0;
}
