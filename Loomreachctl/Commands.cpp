// The sub-commands and the output of their answers.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Settings/DaemonConfig.h>
#include <Loomreach/Settings/SettingsParser.h>
#include <Loomreachctl/Commands.h>

#include <cstdio>

namespace Loomreach
{

using Json = nlohmann::json;

static constexpr Millis cFollowPollMs = 300;
static constexpr Millis cInForcePollMs = 20;

static void Sleep(Millis inMillis) { g_usleep(static_cast<gulong>(inMillis) * 1000); }

static void PrintLine(const std::string &inLine) { std::printf("%s\n", inLine.c_str()); }

/// A value as text; a string without its quotes.
static std::string ToText(const Json &inValue) { return inValue.is_string() ? inValue.get<std::string>() : inValue.dump(); }

/// Colours the names of good states green and of bad ones red, on a terminal only.
static std::string Colored(const CommandOptions &inOptions, const std::string &inText)
{
	if (!inOptions.color)
		return inText;
	if (inText == "healthy" || inText == "done" || inText == "active")
		return "\033[32m" + inText + "\033[0m";
	if (inText == "failed" || inText == "cancelled" || inText == "false")
		return "\033[31m" + inText + "\033[0m";
	return inText;
}

/// Prints the named columns of rows as a table.
static void PrintTable(const CommandOptions &inOptions, const Json &inRows, const std::vector<std::string> &inColumns)
{
	std::vector<size_t> widths;
	for (const std::string &column : inColumns)
	{
		size_t width = column.size();
		for (const Json &row : inRows)
			width = std::max(width, ToText(row.value(column, Json(""))).size());
		widths.push_back(width);
	}
	std::string head;
	for (size_t i = 0; i < inColumns.size(); ++i)
		head += inColumns[i] + std::string(widths[i] - inColumns[i].size() + 2, ' ');
	PrintLine(head);
	for (const Json &row : inRows)
	{
		std::string line;
		for (size_t i = 0; i < inColumns.size(); ++i)
		{
			const std::string text = ToText(row.value(inColumns[i], Json("")));
			line += Colored(inOptions, text) + std::string(widths[i] - text.size() + 2, ' ');
		}
		PrintLine(line);
	}
}

/// Prints an object as "key: value" lines.
static void PrintObject(const Json &inObject)
{
	for (const auto &[key, value] : inObject.items())
		PrintLine(key + ": " + ToText(value));
}

/// Prints rows as a table or as JSON, by --output.
static bool PrintRows(CommandCall &ioCall, const std::optional<Json> &inRows, const std::vector<std::string> &inColumns)
{
	if (!inRows.has_value())
		return false;
	if (ioCall.options.json)
		PrintLine(inRows->dump(2));
	else
		PrintTable(ioCall.options, *inRows, inColumns);
	return true;
}

/// Prints an object as lines or as JSON, by --output.
static bool PrintAnswer(CommandCall &ioCall, const std::optional<Json> &inObject)
{
	if (!inObject.has_value())
		return false;
	if (ioCall.options.json)
		PrintLine(inObject->dump(2));
	else
		PrintObject(*inObject);
	return true;
}

static void PrintChanges(const Json &inChanges)
{
	for (const Json &change : inChanges)
		PrintLine("  " + ToText(change["path"]) + "  " + ToText(change["setting"]) + ": " + ToText(change["before"]) + " -> " +
				  ToText(change["after"]));
}

static bool SettingsCheck(CommandCall &ioCall)
{
	const std::optional<std::string> text = ReadFile(ioCall.arguments[0]);
	if (!text.has_value())
		return false;
	const std::optional<SettingsTree> tree = ParseSettings(*text, ioCall.arguments[0]);
	if (!tree.has_value())
		return false;
	PrintLine(ioCall.arguments[0] + ": good, " + std::to_string(tree->Nodes().size()) + " nodes");
	return true;
}

/// Posts a settings file that has been checked locally.
static std::optional<Json> PostSettings(CommandCall &ioCall, const std::string &inQuery)
{
	const std::string &file = ioCall.arguments[0];
	std::optional<std::string> text = ReadFile(file);
	if (!text.has_value() || !ParseSettings(*text, file).has_value())
		return std::nullopt;
	return ioCall.client.Post("/v1/settings?file=" + UrlEscape(file) + inQuery, std::move(*text));
}

static bool SettingsDiff(CommandCall &ioCall)
{
	const std::optional<Json> answer = PostSettings(ioCall, "&dry_run=yes");
	if (!answer.has_value())
		return false;
	if (ioCall.options.json)
	{
		PrintLine(answer->dump(2));
		return true;
	}
	PrintLine("Against version " + ToText((*answer)["version"]) + ", " + std::to_string((*answer)["changes"].size()) +
			  " values in force would change:");
	PrintChanges((*answer)["changes"]);
	return true;
}

/// Waits until every member has read past a log position, at most for --timeout_ms.
static bool WaitInForce(CommandCall &ioCall, const Json &inPosition)
{
	const double began = NowMillisExact();
	while (NowMillisExact() - began < static_cast<double>(ioCall.options.timeout_ms))
	{
		const std::optional<Json> answer = ioCall.client.Get("/v1/in-force?position=" + inPosition.dump());
		if (!answer.has_value())
			return false;
		if ((*answer)["behind"].empty())
		{
			std::printf("In force on %s entry hosts after %.0f ms.\n", (*answer)["reached"].dump().c_str(), NowMillisExact() - began);
			return true;
		}
		Sleep(cInForcePollMs);
	}
	return FailFalse(EError::DeadlineUnmet, "accepted, but some entry hosts have not reported it yet; `status` shows which are heard");
}

static bool SettingsApply(CommandCall &ioCall)
{
	// Without --base_version the change is based on the version in force now
	std::string base = ioCall.options.base_version;
	if (base.empty())
	{
		const std::optional<Json> current = ioCall.client.Get("/v1/settings");
		if (!current.has_value())
			return false;
		base = (*current)["version"].dump();
	}
	const std::optional<Json> answer = PostSettings(ioCall, "&base_version=" + base + "&author=" + UrlEscape(ioCall.options.author));
	if (!answer.has_value())
	{
		Reason reason = LastReason();
		if (ioCall.client.LastRefusal().contains("changed"))
		{
			PrintLine("Meanwhile version " + ToText(ioCall.client.LastRefusal()["version"]) + " has come into force. It changed:");
			PrintChanges(ioCall.client.LastRefusal()["changed"]);
		}
		return FailFalse(reason.kind, std::move(reason.detail));
	}
	PrintLine(ioCall.options.json ? answer->dump() : "Accepted as version " + (*answer)["position"].dump() + ".");
	return !ioCall.options.wait || WaitInForce(ioCall, (*answer)["position"]);
}

static bool SettingsShow(CommandCall &ioCall)
{
	const std::optional<Json> answer = ioCall.client.Get("/v1/settings");
	if (!answer.has_value())
		return false;
	PrintLine(ioCall.options.json ? answer->dump(2) : "# version " + ToText((*answer)["version"]) + "\n" + ToText((*answer)["toml"]));
	return true;
}

static bool SettingsExplain(CommandCall &ioCall)
{
	const std::optional<Json> answer = ioCall.client.Get("/v1/settings/explain?path=" + UrlEscape(ioCall.arguments[0]));
	if (!answer.has_value())
		return false;
	return PrintRows(ioCall, (*answer)["settings"], {"setting", "value", "from", "meaning"});
}

/// The row of a list in which a key has the given value.
static std::optional<Json> FindRow(const std::optional<Json> &inRows, const std::string &inKey, const std::string &inValue)
{
	if (!inRows.has_value())
		return std::nullopt;
	for (const Json &row : *inRows)
		if (ToText(row.value(inKey, Json(""))) == inValue)
			return row;
	return Fail(EError::NotFound, inValue);
}

static bool PoolList(CommandCall &ioCall)
{
	return PrintRows(ioCall, ioCall.client.Get("/v1/pools"),
					 {"path", "hosts", "available", "required", "spare_cpu_milli", "buffer_cpu_milli", "held_by"});
}

static bool PoolShow(CommandCall &ioCall)
{
	return PrintAnswer(ioCall, FindRow(ioCall.client.Get("/v1/pools"), "path", ioCall.arguments[0]));
}

static bool JobList(CommandCall &ioCall)
{
	return PrintRows(ioCall, ioCall.client.Get("/v1/jobs"), {"path", "kind", "priority", "wanted", "placed", "finished"});
}

static bool JobShow(CommandCall &ioCall)
{
	return PrintAnswer(ioCall, FindRow(ioCall.client.Get("/v1/jobs"), "path", ioCall.arguments[0]));
}

static bool JobWhy(CommandCall &ioCall)
{
	const std::optional<Json> answer = ioCall.client.Get("/v1/jobs/why?path=" + UrlEscape(ioCall.arguments[0]));
	if (!answer.has_value())
		return false;
	if (ioCall.options.json)
		return PrintAnswer(ioCall, answer);
	PrintLine(ToText((*answer)["why"]));
	for (const Json &replica : answer->value("replicas", Json::array()))
		PrintLine("  replica " + replica["replica"].dump() + ": " + ToText(replica["why"]));
	return true;
}

static bool HostList(CommandCall &ioCall)
{
	return PrintRows(ioCall, ioCall.client.Get("/v1/hosts"),
					 {"name", "pool", "availability_zone", "rack", "phase", "health", "replicas", "wave"});
}

static bool HostShow(CommandCall &ioCall) { return PrintAnswer(ioCall, ioCall.client.Get("/v1/hosts/" + UrlEscape(ioCall.arguments[0]))); }

/// Posts a change and prints the position at which it was accepted.
static bool PostChange(CommandCall &ioCall, const std::string &inPath)
{
	const std::optional<Json> answer = ioCall.client.Post(inPath);
	if (!answer.has_value())
		return false;
	PrintLine(ioCall.options.json ? answer->dump() : "Accepted at position " + (*answer)["position"].dump() + ".");
	return !ioCall.options.wait || WaitInForce(ioCall, (*answer)["position"]);
}

static bool HostDrain(CommandCall &ioCall) { return PostChange(ioCall, "/v1/hosts/" + UrlEscape(ioCall.arguments[0]) + "/drain"); }
static bool HostUndrain(CommandCall &ioCall) { return PostChange(ioCall, "/v1/hosts/" + UrlEscape(ioCall.arguments[0]) + "/undrain"); }
static bool HostUnquarantine(CommandCall &ioCall)
{
	return PostChange(ioCall, "/v1/hosts/" + UrlEscape(ioCall.arguments[0]) + "/unquarantine");
}
static bool HostMove(CommandCall &ioCall)
{
	return PostChange(ioCall, "/v1/hosts/" + UrlEscape(ioCall.arguments[0]) + "/move?to=" + UrlEscape(ioCall.arguments[1]));
}

static bool WaveStart(CommandCall &ioCall)
{
	const CommandOptions &options = ioCall.options;
	return PostChange(ioCall, "/v1/waves?name=" + UrlEscape(ioCall.arguments[0]) + "&pool=" + UrlEscape(options.pool) +
								  "&availability_zone=" + UrlEscape(options.availability_zone) + "&rack=" + UrlEscape(options.rack));
}

static bool WavePause(CommandCall &ioCall) { return PostChange(ioCall, "/v1/waves/" + UrlEscape(ioCall.arguments[0]) + "/pause"); }
static bool WaveResume(CommandCall &ioCall) { return PostChange(ioCall, "/v1/waves/" + UrlEscape(ioCall.arguments[0]) + "/resume"); }
static bool WaveCancel(CommandCall &ioCall) { return PostChange(ioCall, "/v1/waves/" + UrlEscape(ioCall.arguments[0]) + "/cancel"); }

static bool WaveFollow(CommandCall &ioCall)
{
	std::string last;
	while (true)
	{
		const std::optional<Json> wave = FindRow(ioCall.client.Get("/v1/waves"), "name", ioCall.arguments[0]);
		if (!wave.has_value())
			return false;
		std::string line = ioCall.arguments[0] + ": " + ToText((*wave)["state"]) + ", " + (*wave)["done"].dump() + " of " +
						   (*wave)["hosts"].dump() + " hosts done, " + (*wave)["leaving"].dump() + " out or on their way";
		for (const auto &[pool, why] : (*wave)["held_by"].items())
			line += "; " + pool + " held by " + ToText(why);
		if (line != last)
			PrintLine(line);
		std::fflush(stdout);
		last = line;
		if ((*wave)["state"] == "done" || (*wave)["state"] == "cancelled")
			return true;
		Sleep(cFollowPollMs);
	}
}

static bool WaveStatus(CommandCall &ioCall)
{
	if (ioCall.options.follow && !ioCall.arguments.empty())
		return WaveFollow(ioCall);
	const std::optional<Json> waves = ioCall.client.Get("/v1/waves");
	if (!ioCall.arguments.empty())
		return PrintAnswer(ioCall, FindRow(waves, "name", ioCall.arguments[0]));
	return PrintRows(ioCall, waves, {"name", "state", "hosts", "pending", "leaving", "done"});
}

static bool Status(CommandCall &ioCall) { return PrintAnswer(ioCall, ioCall.client.Get("/v1/status")); }

static bool MetricsText(CommandCall &ioCall)
{
	const std::optional<std::string> text = ioCall.client.GetText("/v1/metrics");
	if (text.has_value())
		std::printf("%s", text->c_str());
	return text.has_value();
}

static bool Watch(CommandCall &ioCall)
{
	std::string last;
	const double began = NowMillisExact();
	while (NowMillisExact() - began < static_cast<double>(ioCall.options.timeout_ms))
	{
		const std::optional<Json> status = ioCall.client.Get("/v1/status");
		if (!status.has_value())
			return false;
		const std::string line = "offset " + (*status)["next_offset"].dump() + ", hosts " + (*status)["available_hosts"].dump() + "/" +
								 (*status)["hosts"].dump() + " available, " + (*status)["placements"].dump() + " placements, " +
								 (*status)["open_requests"].dump() + " open requests";
		if (line != last)
			PrintLine(line);
		std::fflush(stdout);
		last = line;
		Sleep(cFollowPollMs);
	}
	return true;
}

static constexpr std::array cCommands = {
	Command{"settings", "check", "FILE", 1, 1, "check a settings file without an entry host", &SettingsCheck},
	Command{"settings", "diff", "FILE", 1, 1, "show every value in force that the file would change", &SettingsDiff},
	Command{"settings", "apply", "FILE", 1, 1, "put a settings file in force; --wait until it is in force everywhere", &SettingsApply},
	Command{"settings", "show", "", 0, 0, "show the settings in force", &SettingsShow},
	Command{"settings", "explain", "PATH", 1, 1, "show each value in force at a node and the node it comes from", &SettingsExplain},
	Command{"pool", "list", "", 0, 0, "list pools with their budgets and buffers", &PoolList},
	Command{"pool", "show", "PATH", 1, 1, "show one pool, what its buffer costs and what it is for", &PoolShow},
	Command{"job", "list", "", 0, 0, "list jobs", &JobList},
	Command{"job", "show", "PATH", 1, 1, "show one job and its replicas", &JobShow},
	Command{"job", "why", "PATH", 1, 1, "explain why a job's replicas run or do not", &JobWhy},
	Command{"host", "list", "", 0, 0, "list hosts", &HostList},
	Command{"host", "show", "NAME", 1, 1, "show one host and why it cannot leave", &HostShow},
	Command{"host", "drain", "NAME", 1, 1, "give a host no new work", &HostDrain},
	Command{"host", "undrain", "NAME", 1, 1, "cancel the drain of a host", &HostUndrain},
	Command{"host", "move", "NAME POOL", 2, 2, "move a drained host to another pool", &HostMove},
	Command{"host", "unquarantine", "NAME", 1, 1, "use a quarantined host again", &HostUnquarantine},
	Command{"wave", "start", "NAME", 1, 1, "start a maintenance wave over --pool, --availability_zone, --rack or all", &WaveStart},
	Command{"wave", "status", "[NAME]", 0, 1, "show waves; --follow one until it ends", &WaveStatus},
	Command{"wave", "pause", "NAME", 1, 1, "pause a wave: let no more hosts leave", &WavePause},
	Command{"wave", "resume", "NAME", 1, 1, "go on with a paused wave", &WaveResume},
	Command{"wave", "cancel", "NAME", 1, 1, "end a wave; hosts that are out still come back", &WaveCancel},
	Command{"status", "", "", 0, 0, "show the entry host and totals of the fleet", &Status},
	Command{"metrics", "", "", 0, 0, "print the metrics as Prometheus text", &MetricsText},
	Command{"watch", "", "", 0, 0, "print changes of the totals of the fleet, for --timeout_ms", &Watch},
};

std::span<const Command> AllCommands() { return cCommands; }

const Command *FindCommand(const std::vector<std::string> &inWords)
{
	for (const Command &command : cCommands)
	{
		const bool group = !inWords.empty() && inWords[0] == command.group;
		if (group && (command.verb.empty() || (inWords.size() > 1 && inWords[1] == command.verb)))
			return &command;
	}
	return nullptr;
}

} // namespace Loomreach
