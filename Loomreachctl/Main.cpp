// loomreachctl: the command-line tool for operators. Parses the flags and runs one sub-command.

#include <Loomreach/Loomreach.h>

#include <Loomreachctl/Commands.h>

#include <cstdio>
#include <cstdlib>

#include <unistd.h>

#include <gflags/gflags.h>

DEFINE_string(server, "127.0.0.1:7002", "Operators' address of any entry host.");
DEFINE_string(token_file, "", "File with the operators' token.");
DEFINE_string(output, "text", "text or json.");
DEFINE_bool(wait, false, "Wait until the change is in force everywhere.");
DEFINE_bool(follow, false, "Follow a wave until the end.");
DEFINE_string(base_version, "", "Version that the settings were read at; default: the one in force now.");
DEFINE_string(author, "", "Who changes the settings.");
DEFINE_string(pool, "", "Only hosts of this pool.");
DEFINE_string(availability_zone, "", "Only hosts of this availability zone.");
DEFINE_string(rack, "", "Only hosts of this rack.");
DEFINE_int64(timeout_ms, 60'000, "How long to wait, ms.");

namespace
{

using namespace Loomreach;

std::string Usage()
{
	std::string text = "loomreachctl [flags] COMMAND\n";
	for (const Command &command : AllCommands())
	{
		std::string line = "  " + std::string(command.group) + " " + std::string(command.verb) + " " + std::string(command.arguments);
		line.resize(std::max<size_t>(line.size(), 28), ' ');
		text += line + " " + std::string(command.meaning) + "\n";
	}
	return text + "Flags: --server --token_file --output=text|json --wait --follow --base_version --author --pool --availability_zone "
				  "--rack --timeout_ms\n";
}

int PrintError()
{
	const Reason &reason = LastReason();
	std::fprintf(stderr, "loomreachctl: %s: %s\n  %s\n", std::string(AnswerOf(reason.kind).name).c_str(), reason.detail.c_str(),
				 std::string(AnswerOf(reason.kind).meaning).c_str());
	return AnswerOf(reason.kind).exit_code;
}

bool ReadOptions(CommandOptions &outOptions)
{
	if (FLAGS_output != "text" && FLAGS_output != "json")
		return FailFalse(EError::BadRequest, "--output: expected text or json");
	outOptions = {
		FLAGS_output == "json",  FLAGS_wait, FLAGS_follow,    isatty(STDOUT_FILENO) != 0, FLAGS_base_version, FLAGS_author, FLAGS_pool,
		FLAGS_availability_zone, FLAGS_rack, FLAGS_timeout_ms};
	return true;
}

std::optional<std::string> ReadToken()
{
	if (FLAGS_token_file.empty())
		return std::string();
	std::optional<std::string> token = ReadFile(FLAGS_token_file);
	while (token.has_value() && !token->empty() && token->back() == '\n')
		token->pop_back();
	return token;
}

/// Whether --help is among the arguments. It is handled here, since the help of gflags lists the flags of every library.
bool WantsHelp(int inCount, char **inWords)
{
	for (int i = 1; i < inCount; ++i)
		if (std::string_view(inWords[i]) == "--help" || std::string_view(inWords[i]) == "-h")
			return true;
	return false;
}

int PrintHelp(const std::vector<std::string> &inWords)
{
	const Command *command = FindCommand(inWords);
	if (command == nullptr)
	{
		std::printf("%s", Usage().c_str());
		return 0;
	}
	std::printf("loomreachctl %s %s %s\n  %s\n", std::string(command->group).c_str(), std::string(command->verb).c_str(),
				std::string(command->arguments).c_str(), std::string(command->meaning).c_str());
	return 0;
}

} // namespace

int main(int argc, char **argv)
{
	if (WantsHelp(argc, argv))
	{
		std::vector<std::string> command_words;
		for (int i = 1; i < argc; ++i)
			if (argv[i][0] != '-')
				command_words.emplace_back(argv[i]);
		return PrintHelp(command_words);
	}
	gflags::SetUsageMessage(Usage());
	gflags::SetVersionString("0.1.0");
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	std::vector<std::string> words(argv + 1, argv + argc);
	const Command *command = FindCommand(words);
	if (command == nullptr)
	{
		std::fprintf(stderr, "%s", Usage().c_str());
		return AnswerOf(EError::BadRequest).exit_code;
	}
	words.erase(words.begin(), words.begin() + (command->verb.empty() ? 1 : 2));
	CommandOptions options;
	const std::optional<std::string> token = ReadToken();
	const std::optional<Address> server = ParseAddress(FLAGS_server);
	if (!ReadOptions(options) || !token.has_value() || !server.has_value())
		return PrintError();
	if (words.size() < command->min_arguments || words.size() > command->max_arguments)
	{
		FailFalse(EError::BadRequest,
				  "usage: " + std::string(command->group) + " " + std::string(command->verb) + " " + std::string(command->arguments));
		return PrintError();
	}
	OperatorClient client(*server, *token);
	CommandCall call{client, options, std::move(words)};
	return command->run(call) ? 0 : PrintError();
}
