package org.godwithoist.standins.engine;

/**
 * Text of answers. The words depend only on the prompt, so a checker can tell a whole answer, and
 * an engine that continues another one's answer produces the same rest.
 */
public final class Words {
    private static final String[] VOWELS = {"a", "e", "i", "o", "u"};
    private static final String[] CONSONANTS = {"b", "d", "k", "l", "m", "n", "r", "s", "t", "v"};
    private static final int MULTIPLIER = 1_000_003;

    private Words() {}

    /** Returns the word at a position from 1 of the answer to a prompt, with a space behind it. */
    public static String word(String prompt, int position) {
        int h = Math.floorMod(prompt.hashCode() * MULTIPLIER + position * 7_919, 1 << 30);
        String c = CONSONANTS[h % CONSONANTS.length];
        String v = VOWELS[(h / CONSONANTS.length) % VOWELS.length];
        return c + v + position + " ";
    }

    /** Returns the whole answer to a prompt. */
    public static String answer(String prompt, int words) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= words; i++) {
            text.append(word(prompt, i));
        }
        return text.toString();
    }

    /** Returns how many words a text has. */
    public static int count(String text) {
        return (int) text.chars().filter(c -> c == ' ').count();
    }
}
