// Small fleets for tests. Settings, hosts and placements are created by applying proposals, as in production, so that a test can only build
// states that the log can lead to.

#pragma once

#include <Loomreach/State/Fold.h>

#include <gtest/gtest.h>

namespace Loomreach
{

/// A fleet state that is built only by proposals.
class TestFleet
{
public:
	/// Applies a proposal at the next log position.
	ProposalOutcome Apply(ProposalBody inBody)
	{
		const Proposal proposal{{1, ++this->sequence}, std::move(inBody)};
		return ApplyProposal(this->state, PositionAt(this->state.next_offset++, 0), proposal);
	}

	/// Applies a proposal that must be accepted. Returns its position.
	LogPosition Accept(ProposalBody inBody)
	{
		const ProposalOutcome outcome = this->Apply(std::move(inBody));
		EXPECT_TRUE(outcome.Accepted()) << AnswerOf(outcome.error).name << ": " << outcome.detail;
		return outcome.position;
	}

	/// Applies a proposal that must be rejected with this error.
	void Reject(ProposalBody inBody, EError inError)
	{
		const std::string before = EncodeState(this->state);
		FleetState untouched = this->state;
		const ProposalOutcome outcome = this->Apply(std::move(inBody));
		EXPECT_EQ(AnswerOf(outcome.error).name, AnswerOf(inError).name) << outcome.detail;
		// A rejected proposal changes nothing but the proposer's entry and the next offset
		untouched.proposers = this->state.proposers;
		untouched.next_offset = this->state.next_offset;
		EXPECT_EQ(untouched.Hash(), this->state.Hash());
	}

	/// Settings with one pool and one job in it.
	static std::vector<SettingsNode> OnePool(int64 inMinAvailable, int64 inReplicas, int64 inCpu = 4000)
	{
		SettingsNode pool{"/pool", ENodeKind::Pool, {{ESetting::MinAvailablePercent, {inMinAvailable, {}}}}};
		SettingsNode job{"/pool/job", ENodeKind::Job, {{ESetting::Replicas, {inReplicas, {}}}, {ESetting::CpuMilli, {inCpu, {}}}}};
		return {pool, job};
	}

	/// Adds a healthy host of 16 cores and 32 GB.
	void AddHealthy(const std::string &inName, const std::string &inPool = "/pool", const std::string &inRack = "rack-0",
					const std::string &inZone = "zone-0")
	{
		HostSpec spec{inName, {"127.0.0.1", 9}, "here", inZone, inRack, {16'000, 32'768, 0}, 8, 64};
		this->Accept(AddHost{spec, inPool});
		this->Step(inName, EHostStep::Healthy);
	}

	StepHost MakeStep(const std::string &inHost, EHostStep inStep, const std::string &inWave = {}) const
	{
		return {inHost, inStep, this->state.hosts.at(inHost).generation, inWave, "test", 0};
	}

	void Step(const std::string &inHost, EHostStep inStep, const std::string &inWave = {})
	{
		this->Accept(this->MakeStep(inHost, inStep, inWave));
	}

	FleetState state;
	uint64 sequence = 0;
};

} // namespace Loomreach
