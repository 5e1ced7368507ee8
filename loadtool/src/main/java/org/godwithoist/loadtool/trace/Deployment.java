package org.godwithoist.loadtool.trace;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.godwithoist.core.Priority;

/** The existing deployments, with their sizes and the mix of their chats. */
public enum Deployment {
    /** Few chats with long intake histories: repair estimates and questions about rings. */
    ATELIERWERK(3, 8, 3, 2_000, 400) {
        @Override
        Priority priority(Random random) {
            return random.nextInt(10) == 0 ? Priority.BACKGROUND : Priority.INTERACTIVE;
        }
    },
    /** Short alarm triage, keepers' questions and long log reviews. */
    RYBNIKOV(4, 13, 4, 600, 250) {
        @Override
        Priority priority(Random random) {
            int draw = random.nextInt(10);
            if (draw == 0) {
                return Priority.URGENT;
            }
            return draw < 7 ? Priority.INTERACTIVE : Priority.BACKGROUND;
        }
    };

    private final int failureDomains;
    private final int engines;
    private final int services;
    private final int firstPromptWords;
    private final int turnWords;

    Deployment(int failureDomains, int engines, int services, int firstPromptWords, int turnWords) {
        this.failureDomains = failureDomains;
        this.engines = engines;
        this.services = services;
        this.firstPromptWords = firstPromptWords;
        this.turnWords = turnWords;
    }

    /** Returns a random priority for a chat. */
    abstract Priority priority(Random random);

    /** Returns the number of failure domains. */
    public int failureDomains() {
        return failureDomains;
    }

    /** Returns the number of model engines. */
    public int engines() {
        return engines;
    }

    /** Returns the number of plain (non-model) services. */
    public int services() {
        return services;
    }

    /**
     * Returns the mean length in words of a chat's first message, which includes earlier history.
     */
    public int firstPromptWords() {
        return firstPromptWords;
    }

    /** Returns the mean length in words of every later message. */
    public int turnWords() {
        return turnWords;
    }

    /** Returns the weights of three large and seven small workspaces, in percent of the chats. */
    public List<Integer> workspaceWeights() {
        return List.of(30, 20, 15, 5, 5, 5, 5, 5, 5, 5);
    }

    /** Returns the name used on the command line and in chat ids. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
