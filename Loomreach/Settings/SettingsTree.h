// The tree of settings: groups, pools and jobs, each inheriting from its parent what it does not state itself.
// Pure data; the text form is read by SettingsParser, versions are kept by the fold.

#pragma once

#include <Loomreach/Settings/SettingsKey.h>

namespace Loomreach
{

/// What a node of the tree stands for.
enum class ENodeKind : uint8
{
	Group, ///< Holds groups and pools; the root is a group with the path "/".
	Pool,  ///< Holds jobs; hosts belong to it.
	Job    ///< A service or a batch job.
};

/// One node: its path and the settings that it states itself.
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

/// A value in force and the node that states it.
struct Explained
{
	SettingValue value;
	std::string from; ///< Path of the stating node; empty: the built-in default.
};

/// One value in force that differs between two trees.
struct SettingChange
{
	std::string path;
	ESetting setting = ESetting::Count;
	std::string before; ///< Text of the value, or "absent" where the node is not there.
	std::string after;
};

/// The tree. Invariant: it holds the root, and the parent of every node in it.
class SettingsTree
{
public:
	SettingsTree();

	/// Builds a tree from nodes, checking paths, parents, kinds and values. Nothing on failure; the last reason names the node.
	static std::optional<SettingsTree> FromNodes(std::vector<SettingsNode> inNodes);

	/// All nodes in order of their paths.
	std::vector<SettingsNode> Nodes() const;
	/// The node at a path, or nullptr.
	const SettingsNode *Find(std::string_view inPath) const;
	/// The value in force at a path, and where it comes from. The path must be of a node.
	Explained Explain(std::string_view inPath, ESetting inSetting) const;
	/// The number in force at a path.
	int64 Number(std::string_view inPath, ESetting inSetting) const { return this->Explain(inPath, inSetting).value.number; }
	/// The word in force at a path.
	std::string Word(std::string_view inPath, ESetting inSetting) const { return this->Explain(inPath, inSetting).value.word; }
	/// The tree as TOML that SettingsParser reads back to an equal tree.
	std::string ToToml() const;
	/// Every value in force that differs from inBefore, on every pool and job that it reaches.
	std::vector<SettingChange> DiffFrom(const SettingsTree &inBefore) const;

	bool operator==(const SettingsTree &) const = default;

private:
	std::map<std::string, SettingsNode, std::less<>> nodes;
};

/// Path of the parent: "/a" for "/a/b", "/" for "/a". The root has none: empty.
std::string_view ParentPath(std::string_view inPath);

/// Last part of a path: "b" for "/a/b".
std::string_view LeafName(std::string_view inPath);

} // namespace Loomreach
