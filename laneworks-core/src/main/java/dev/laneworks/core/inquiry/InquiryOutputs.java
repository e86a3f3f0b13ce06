package dev.laneworks.core.inquiry;

import dev.laneworks.core.directory.ListedTarget;

/**
 * What {@link LeavingInquiry} needs from its process.
 *
 * @since 0.2
 */
public interface InquiryOutputs {

	/**
	 * Ask an engine whether it is leaving; the answer comes to
	 * {@link LeavingInquiry#answered}, in any case.
	 * @param engine the engine
	 */
	void ask(ListedTarget engine);

	/**
	 * Take that an engine said that it is leaving, and when.
	 * @param engine the engine
	 * @param answer what it said
	 * @param now the time in milliseconds
	 */
	void leaves(ListedTarget engine, EngineAnswer answer, long now);

	/**
	 * Take that nothing listens at an engine's address.
	 * @param engine the engine
	 * @param now the time in milliseconds
	 */
	void refused(ListedTarget engine, long now);

}
