package dev.laneworks.bench.slopes;

/**
 * Makes configuration documents of any size.
 */
final class MadeFleet {

	private static final int DATA_CENTRES = 5;

	private static final int MODELS = 6;

	private MadeFleet() {
	}

	static String document(long version, int targets, int accounts) {
		StringBuilder text = new StringBuilder("{\"version\": ").append(version).append(", \"targets\": [\n");
		for (int i = 0; i < targets; i++) {
			int centre = i % DATA_CENTRES;
			text.append("{\"name\": \"w%d\", \"region\": \"r%d\", \"dataCentre\": \"dc%d\", ".formatted(i, centre / 3,
					centre));
			text.append("\"address\": \"10.%d.%d.%d:7400\", \"serves\": [\"model-%d\"]},\n".formatted(centre, i / 200,
					i % 200 + 1, i / DATA_CENTRES % MODELS));
		}
		text.append("], \"accounts\": [\n");
		for (int i = 0; i < accounts; i++) {
			text.append("{\"name\": \"account-%d\", \"keyDigest\": \"%064x\", \"weight\": 1},\n".formatted(i,
					i * 7919L + 1));
		}
		text.append("], \"intents\": [\n");
		for (int i = 0; i < accounts; i++) {
			text.append("{\"account\": \"account-%d\", \"model\": \"model-%d\", \"priority\": %d},\n".formatted(i,
					i % MODELS, i % 4));
		}
		return text.append("]}").toString();
	}

	static String model(int number) {
		return "model-" + number % MODELS;
	}

}
