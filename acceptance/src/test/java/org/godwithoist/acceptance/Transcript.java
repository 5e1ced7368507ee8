package org.godwithoist.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

/**
 * Transcript of a session: requests, responses and notes. Times and generated ids are normalised,
 * other values are not.
 */
final class Transcript {
    private static final Path GOLDEN = Path.of("src", "test", "resources", "sessions");
    private static final Pattern UUID =
            Pattern.compile("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}");
    private static final Pattern TIMESTAMP = Pattern.compile("\"(created|at)\": ?[0-9]+");

    private static final Pattern PROPOSAL = Pattern.compile("([0-9]{10})-[0-9a-f]{12}");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    // Which engine generates a word after a kill depends on timing.
    private static final Pattern ENGINE = Pattern.compile("\"system_fingerprint\":\"[^\"]*\"");
    private static final Pattern SIGNATURE = Pattern.compile("[A-Za-z0-9+/]{86}==");
    private static final Pattern DURATION = Pattern.compile("((?:store|total) ms) +[0-9]+");
    private static final Pattern DIRECTORY = Pattern.compile("\\S*/godwithoist-session[0-9]+/");
    private static final Pattern CLOCK = Pattern.compile("20[0-9]{2}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z");

    private final StringBuilder text = new StringBuilder();

    void addRequest(String line) {
        text.append("> ").append(normalise(line)).append('\n');
    }

    void addResponse(String line) {
        for (String part : normalise(line).lines().toList()) {
            text.append("< ").append(part).append('\n');
        }
    }

    void addNote(String line) {
        text.append("# ").append(normalise(line)).append('\n');
    }

    /** Compares the transcript with its golden file; -DupdateGolden=true overwrites the file. */
    void compareWithGolden(String session) throws IOException {
        Path file = GOLDEN.resolve(session + ".golden");
        if (Boolean.getBoolean("updateGolden")) {
            Files.createDirectories(GOLDEN);
            Files.writeString(file, text);
            return;
        }
        String expected = Files.exists(file) ? Files.readString(file) : "";
        assertEquals(expected, text.toString(), "session " + session + " differs from " + file);
    }

    private static String normalise(String line) {
        String normalised = UUID.matcher(line).replaceAll("<id>");
        normalised = PROPOSAL.matcher(normalised).replaceAll("$1-<hash>");
        normalised = HASH.matcher(normalised).replaceAll("<hash>");
        normalised = ENGINE.matcher(normalised).replaceAll("\"system_fingerprint\":\"<engine>\"");
        normalised = SIGNATURE.matcher(normalised).replaceAll("<signature>");
        normalised = DURATION.matcher(normalised).replaceAll("$1 <time>");
        normalised = DIRECTORY.matcher(normalised).replaceAll("");
        normalised = CLOCK.matcher(normalised).replaceAll("<time>");
        return TIMESTAMP.matcher(normalised).replaceAll("\"$1\":<time>");
    }
}
