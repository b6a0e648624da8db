// Converts TOML to a settings tree. Tables [group.X], [group.X.pool.Y] and [group.X.pool.Y.job.Z] are nodes, and their other keys settings.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/SettingsParser.h>
#include <Loomreach/Settings/TomlReader.h>

namespace Loomreach
{

namespace
{

/// Collects the nodes of one document.
class NodeReader
{
public:
	explicit NodeReader(std::string_view inFile) : file(inFile) {}

	/// Reads a table as the node at a path, and the tables below it.
	bool ReadNode(const toml::table &inTable, const std::string &inPath, ENodeKind inKind)
	{
		SettingsNode node{inPath, inKind, {}};
		for (auto &&[key, value] : inTable)
		{
			const std::optional<ENodeKind> child = ChildKind(key.str());
			if (child.has_value())
			{
				if (!this->ReadChildren(value, inPath, inKind, *child))
					return false;
				continue;
			}
			if (!this->ReadSetting(key, value, node))
				return false;
		}
		this->nodes.push_back(std::move(node));
		return true;
	}

	std::vector<SettingsNode> nodes;

private:
	static std::optional<ENodeKind> ChildKind(std::string_view inKey)
	{
		if (inKey == "group")
			return ENodeKind::Group;
		if (inKey == "pool")
			return ENodeKind::Pool;
		if (inKey == "job")
			return ENodeKind::Job;
		return std::nullopt;
	}

	bool FailAt(const toml::source_region &inWhere, const std::string &inDetail)
	{
		return FailFalse(EError::BadSettings, PositionOf(inWhere, this->file) + ": " + inDetail);
	}

	bool ReadChildren(const toml::node &inValue, const std::string &inPath, ENodeKind inParent, ENodeKind inChild)
	{
		const bool allowed =
			inParent == ENodeKind::Group ? inChild != ENodeKind::Job : (inParent == ENodeKind::Pool && inChild == ENodeKind::Job);
		if (!allowed)
			return this->FailAt(inValue.source(), "groups hold groups and pools, pools hold jobs");
		const toml::table *table = inValue.as_table();
		if (table == nullptr)
			return this->FailAt(inValue.source(), "expected a table of named groups, pools or jobs");
		const std::string prefix = inPath == "/" ? "/" : inPath + "/";
		for (auto &&[name, child] : *table)
		{
			const toml::table *child_table = child.as_table();
			if (child_table == nullptr)
				return this->FailAt(child.source(), "expected a table with settings");
			const bool is_name = !name.str().empty() && name.str().find_first_of(" /\"\\\n\r\t") == std::string_view::npos;
			if (!is_name)
				return this->FailAt(name.source(), "expected a name without spaces, quotes or slashes");
			if (!this->ReadNode(*child_table, prefix + std::string(name.str()), inChild))
				return false;
		}
		return true;
	}

	bool ReadSetting(const toml::key &inKey, const toml::node &inValue, SettingsNode &ioNode)
	{
		const std::optional<ESetting> setting = SettingOf(inKey.str());
		if (!setting.has_value())
			return this->FailAt(inKey.source(), "unknown setting '" + std::string(inKey.str()) + "'");
		SettingValue value;
		switch (InfoOf(*setting).type)
		{
		case ESettingType::Integer:
			if (!inValue.is_integer())
				return this->FailAt(inValue.source(), std::string(inKey.str()) + ": expected a whole number");
			value.number = **inValue.as_integer();
			break;
		case ESettingType::Boolean:
			if (!inValue.is_boolean())
				return this->FailAt(inValue.source(), std::string(inKey.str()) + ": expected true or false");
			value.number = **inValue.as_boolean() ? 1 : 0;
			break;
		case ESettingType::Word:
			if (!inValue.is_string())
				return this->FailAt(inValue.source(), std::string(inKey.str()) + ": expected text in quotes");
			value.word = **inValue.as_string();
			break;
		}
		if (!CheckValue(*setting, value))
			return this->FailAt(inValue.source(), std::string(inKey.str()) + ": " + LastReason().detail);
		ioNode.stated.emplace(*setting, std::move(value));
		return true;
	}

	std::string_view file;
};

} // namespace

std::optional<SettingsTree> ParseSettings(std::string_view inText, std::string_view inFile)
{
	const std::optional<toml::table> document = ParseToml(inText, inFile, EError::BadSettings);
	if (!document.has_value())
		return std::nullopt;
	NodeReader reader(inFile);
	if (!reader.ReadNode(*document, "/", ENodeKind::Group))
		return std::nullopt;
	std::optional<SettingsTree> tree = SettingsTree::FromNodes(std::move(reader.nodes));
	if (!tree.has_value())
		return Fail(EError::BadSettings, std::string(inFile) + ": " + LastReason().detail);
	return tree;
}

} // namespace Loomreach
