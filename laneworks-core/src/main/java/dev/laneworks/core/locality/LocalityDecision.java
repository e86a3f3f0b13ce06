package dev.laneworks.core.locality;

/**
 * Choice of a data centre with its inputs.
 *
 * @param dataCentre the chosen data centre
 * @param local whether it is the data centre of this entry
 * @param reason the reason for sending the request elsewhere, as text for operators;
 * empty text if it stays local
 * @since 0.4
 */
public record LocalityDecision(String dataCentre, boolean local, String reason) {

}
