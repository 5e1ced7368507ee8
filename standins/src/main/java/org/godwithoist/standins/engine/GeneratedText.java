package org.godwithoist.standins.engine;

/**
 * Deterministic response text. The words depend only on the prompt, so a test can verify that a
 * response is complete, and an engine that resumes another engine's response generates the same
 * remainder.
 */
public final class GeneratedText {
    private static final String[] VOWELS = {"a", "e", "i", "o", "u"};
    private static final String[] CONSONANTS = {"b", "d", "k", "l", "m", "n", "r", "s", "t", "v"};
    private static final int MULTIPLIER = 1_000_003;

    private GeneratedText() {}

    /** Returns the word at a position, counted from 1, followed by a space. */
    public static String word(String prompt, int position) {
        int hash = Math.floorMod(prompt.hashCode() * MULTIPLIER + position * 7_919, 1 << 30);
        String consonant = CONSONANTS[hash % CONSONANTS.length];
        String vowel = VOWELS[(hash / CONSONANTS.length) % VOWELS.length];
        return consonant + vowel + position + " ";
    }

    /** Returns the complete response to a prompt with the given number of words. */
    public static String response(String prompt, int words) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= words; i++) {
            text.append(word(prompt, i));
        }
        return text.toString();
    }

    /** Returns the number of words in a text of which each ends with a space. */
    public static int countWords(String text) {
        return (int) text.chars().filter(c -> c == ' ').count();
    }
}
