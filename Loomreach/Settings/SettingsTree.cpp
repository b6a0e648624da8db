// Checks, inheritance, text form and comparison of settings trees.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/SettingsTree.h>

namespace Loomreach
{

static constexpr size_t cMaxNodes = 20'000;
static constexpr size_t cMaxPathLength = 200;
static constexpr std::string_view cRoot = "/";

std::string_view ParentPath(std::string_view inPath)
{
	if (inPath == cRoot)
		return {};
	const size_t slash = inPath.rfind('/');
	return slash == 0 ? cRoot : inPath.substr(0, slash);
}

std::string_view LeafName(std::string_view inPath) { return inPath.substr(inPath.rfind('/') + 1); }

SettingsTree::SettingsTree() { this->nodes.emplace(cRoot, SettingsNode{std::string(cRoot), ENodeKind::Group, {}}); }

static bool MayContain(ENodeKind inParent, ENodeKind inChild)
{
	switch (inParent)
	{
	case ENodeKind::Group: return inChild != ENodeKind::Job;
	case ENodeKind::Pool: return inChild == ENodeKind::Job;
	case ENodeKind::Job: return false;
	}
	return false;
}

static bool CheckNode(const SettingsNode &inNode)
{
	if (inNode.path.empty() || inNode.path.size() > cMaxPathLength || inNode.path.front() != '/')
		return FailFalse(EError::BadSettings,
						 "a path starts with / and has at most 200 characters: " + inNode.path.substr(0, cMaxPathLength));
	if (inNode.path.find_first_of(" \"\\\n\r\t") != std::string::npos || inNode.path.find("//") != std::string::npos)
		return FailFalse(EError::BadSettings, "a path must have no spaces, quotes or empty parts: " + inNode.path);
	for (const auto &[setting, value] : inNode.stated)
	{
		if (setting >= ESetting::Count)
			return FailFalse(EError::BadSettings, inNode.path + ": unknown setting");
		if (!CheckValue(setting, value))
			return FailFalse(EError::BadSettings, inNode.path + ": " + std::string(InfoOf(setting).name) + ": " + LastReason().detail);
	}
	return true;
}

std::optional<SettingsTree> SettingsTree::FromNodes(std::vector<SettingsNode> inNodes)
{
	if (inNodes.size() > cMaxNodes)
		return Fail(EError::BadSettings, "settings have more than 20000 nodes");
	SettingsTree tree;
	// Parents sort before their children, so the parent of each node is already in the tree
	std::sort(inNodes.begin(), inNodes.end(), [](const SettingsNode &inA, const SettingsNode &inB) { return inA.path < inB.path; });
	std::set<std::string, std::less<>> jobs;
	for (SettingsNode &node : inNodes)
	{
		if (!CheckNode(node))
			return std::nullopt;
		if (node.path == cRoot)
		{
			tree.nodes.find(cRoot)->second.stated = std::move(node.stated);
			continue;
		}
		const SettingsNode *parent = tree.Find(ParentPath(node.path));
		if (parent == nullptr || !MayContain(parent->kind, node.kind))
			return Fail(EError::BadSettings,
						node.path + ": missing parent or parent of the wrong kind (groups hold groups and pools, pools hold jobs)");
		if (tree.Find(node.path) != nullptr)
			return Fail(EError::BadSettings, node.path + ": node listed twice");
		// Requests name a service by the last part of its path, which must therefore be unique among jobs
		if (node.kind == ENodeKind::Job && !jobs.emplace(LeafName(node.path)).second)
			return Fail(EError::BadSettings,
						node.path + ": another job has the same name; requests name a job by the last part of its path");
		tree.nodes.emplace(node.path, std::move(node));
	}
	return tree;
}

std::vector<SettingsNode> SettingsTree::Nodes() const
{
	std::vector<SettingsNode> all;
	all.reserve(this->nodes.size());
	for (const auto &[path, node] : this->nodes)
		all.push_back(node);
	return all;
}

const SettingsNode *SettingsTree::Find(std::string_view inPath) const
{
	auto found = this->nodes.find(inPath);
	return found == this->nodes.end() ? nullptr : &found->second;
}

EffectiveSetting SettingsTree::Explain(std::string_view inPath, ESetting inSetting) const
{
	// Walk up until a node states the setting
	for (std::string_view path = inPath; !path.empty(); path = ParentPath(path))
	{
		const SettingsNode *node = this->Find(path);
		if (node == nullptr)
			continue;
		auto stated = node->stated.find(inSetting);
		if (stated != node->stated.end())
			return {stated->second, node->path};
	}
	return {DefaultOf(inSetting), {}};
}

static std::string_view TableName(ENodeKind inKind)
{
	switch (inKind)
	{
	case ENodeKind::Group: return "group";
	case ENodeKind::Pool: return "pool";
	case ENodeKind::Job: return "job";
	}
	return "?";
}

std::string SettingsTree::ToToml() const
{
	std::string text;
	std::map<std::string, std::string, std::less<>> headers;
	for (const auto &[path, node] : this->nodes)
	{
		if (path != cRoot)
		{
			const std::string_view parent = ParentPath(path);
			std::string header = parent == cRoot ? "" : headers.find(parent)->second + ".";
			header += TableName(node.kind);
			header += ".\"";
			header += LeafName(path);
			header += '"';
			text += "\n[" + header + "]\n";
			headers.emplace(path, std::move(header));
		}
		for (const auto &[setting, value] : node.stated)
			text += std::string(InfoOf(setting).name) + " = " + TextOf(setting, value) + "\n";
	}
	return text;
}

/// Returns the effective value in TOML syntax, or "absent" if the node is not in the tree.
static std::string EffectiveText(const SettingsTree &inTree, const std::string &inPath, ESetting inSetting)
{
	if (inTree.Find(inPath) == nullptr)
		return "absent";
	return TextOf(inSetting, inTree.Explain(inPath, inSetting).value);
}

std::vector<SettingChange> SettingsTree::DiffFrom(const SettingsTree &inBefore) const
{
	std::set<std::string> paths;
	for (const SettingsTree *tree : {this, &inBefore})
		for (const auto &[path, node] : tree->nodes)
			if (node.kind != ENodeKind::Group)
				paths.insert(path);
	std::vector<SettingChange> changes;
	for (const std::string &path : paths)
	{
		for (size_t i = 0; i < static_cast<size_t>(ESetting::Count); ++i)
		{
			const ESetting setting = static_cast<ESetting>(i);
			SettingChange change{path, setting, EffectiveText(inBefore, path, setting), EffectiveText(*this, path, setting)};
			if (change.before != change.after)
				changes.push_back(std::move(change));
		}
	}
	return changes;
}

} // namespace Loomreach
