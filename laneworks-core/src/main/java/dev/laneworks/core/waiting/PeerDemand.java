package dev.laneworks.core.waiting;

import dev.laneworks.core.gossip.ServiceDemand;

/**
 * Demand for engine memory that other entries report.
 *
 * @since 0.4
 */
public interface PeerDemand {

	/** Knows no other entries. */
	PeerDemand NONE = new PeerDemand() {

		@Override
		public ServiceDemand demandOfOthers(String service) {
			return ServiceDemand.none(service);
		}

		@Override
		public ServiceDemand demandNearby(String service) {
			return ServiceDemand.none(service);
		}

		@Override
		public int entries() {
			return 1;
		}

	};

	/**
	 * Return the demand at all other entries.
	 * @param service the name of the service
	 * @return the sum over the known entries
	 */
	ServiceDemand demandOfOthers(String service);

	/**
	 * Return the demand at the other entries of the data centre.
	 * @param service the name of the service
	 * @return the sum over the known entries
	 */
	ServiceDemand demandNearby(String service);

	/**
	 * Return the number of known entries.
	 * @return the count, including this entry; 1 while gossip is silent
	 */
	int entries();

}
