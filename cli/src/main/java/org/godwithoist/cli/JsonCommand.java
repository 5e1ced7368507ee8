package org.godwithoist.cli;

import org.kohsuke.args4j.Option;

/** Command whose result can be printed as JSON. */
abstract class JsonCommand extends Command {
    @Option(name = "--json", usage = "prints the response as JSON")
    private boolean json;

    @Override
    boolean isJson() {
        return json;
    }
}
