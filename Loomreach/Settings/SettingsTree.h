// Tree of settings: groups, pools and jobs. A node inherits from its parent the settings that it does not set itself. SettingsParser reads
// the text form; versions are part of the replicated state.

#pragma once

#include <Loomreach/Settings/SettingsKey.h>

namespace Loomreach
{

/// Kind of a node of the tree.
enum class ENodeKind : uint8
{
	Group, ///< Contains groups and pools; the root is a group with the path "/".
	Pool,  ///< Contains jobs; each host belongs to one pool.
	Job    ///< A service or a batch job.
};

/// A node: its path and the settings that it sets itself.
struct SettingsNode
{
	std::string path; ///< "/" or "/group/.../pool/job".
	ENodeKind kind = ENodeKind::Group;
	std::map<ESetting, SettingValue> stated;

	bool operator==(const SettingsNode &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->path, this->kind, this->stated);
	}
};

/// The effective value of a setting, and the node that sets it.
struct EffectiveSetting
{
	SettingValue value;
	std::string from; ///< Path of the node that sets the value; empty: the built-in default.
};

/// An effective value that differs between two trees.
struct SettingChange
{
	std::string path;
	ESetting setting = ESetting::Count;
	std::string before; ///< Value in TOML syntax, or "absent" if the node is not in the tree.
	std::string after;
};

/// Invariant: the tree contains the root, and the parent of each of its nodes.
class SettingsTree
{
public:
	SettingsTree();

	/// Builds a tree from nodes, checking paths, parents, kinds and values. Fails with bad-settings; the last reason names the node.
	static std::optional<SettingsTree> FromNodes(std::vector<SettingsNode> inNodes);

	/// Returns all nodes in the order of their paths.
	std::vector<SettingsNode> Nodes() const;
	/// Returns the node at a path, or nullptr.
	const SettingsNode *Find(std::string_view inPath) const;
	/// Returns the effective value of a setting at the path of a node, and which node sets it.
	EffectiveSetting Explain(std::string_view inPath, ESetting inSetting) const;
	/// Returns the effective integer value of a setting at the path of a node.
	int64 Number(std::string_view inPath, ESetting inSetting) const { return this->Explain(inPath, inSetting).value.number; }
	/// Returns the effective word of a setting at the path of a node.
	std::string Word(std::string_view inPath, ESetting inSetting) const { return this->Explain(inPath, inSetting).value.word; }
	/// Returns the tree as TOML, from which SettingsParser builds an equal tree.
	std::string ToToml() const;
	/// Returns the effective values that differ from those in `inBefore`, for each pool and job.
	std::vector<SettingChange> DiffFrom(const SettingsTree &inBefore) const;

	bool operator==(const SettingsTree &) const = default;

private:
	std::map<std::string, SettingsNode, std::less<>> nodes;
};

/// Returns the path of the parent: "/a" for "/a/b", "/" for "/a", and an empty path for the root.
std::string_view ParentPath(std::string_view inPath);

/// Returns the last part of a path: "b" for "/a/b".
std::string_view LeafName(std::string_view inPath);

} // namespace Loomreach
