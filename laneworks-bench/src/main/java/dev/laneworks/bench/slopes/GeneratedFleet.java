package dev.laneworks.bench.slopes;

/**
 * Generator of configuration documents of a given size.
 */
final class GeneratedFleet {

	private static final int DATA_CENTRES = 5;

	private static final int MODELS = 6;

	private GeneratedFleet() {
	}

	static String document(long version, int targets, int accounts) {
		StringBuilder text = new StringBuilder("{\"version\": ").append(version).append(", \"targets\": [\n");
		for (int i = 0; i < targets; i++) {
			int dataCentre = i % DATA_CENTRES;
			text.append("{\"name\": \"w%d\", \"region\": \"r%d\", \"dataCentre\": \"dc%d\", ".formatted(i,
					dataCentre / 3, dataCentre));
			text.append("\"address\": \"10.%d.%d.%d:7400\", \"serves\": [\"model-%d\"]},\n".formatted(dataCentre,
					i / 200, i % 200 + 1, i / DATA_CENTRES % MODELS));
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

	static String modelName(int number) {
		return "model-" + number % MODELS;
	}

}
