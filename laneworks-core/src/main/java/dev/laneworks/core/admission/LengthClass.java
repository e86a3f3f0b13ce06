package dev.laneworks.core.admission;

import java.util.Objects;

import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.SidecarRequest;

/**
 * Class of requests whose output lengths are learned together.
 *
 * @param account the name of the client account
 * @param model the name of the model
 * @param kind the kind of request
 * @since 0.1
 */
public record LengthClass(String account, String model, OperationKind kind) {

	public LengthClass {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(model, "model must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
	}

	/**
	 * Return the class of a request.
	 * @param request the request
	 * @return the class by account, model and kind
	 */
	public static LengthClass of(SidecarRequest request) {
		return new LengthClass(request.account(), request.model(), request.kind());
	}

}
