package org.godwithoist.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Commands that take failure domains and hosts out of service and put them back. */
public final class OrderCommands {
    private static final String PATH = "/v1/orders";

    private OrderCommands() {}

    /** Kind of subject that an order applies to. */
    enum Subject {
        DOMAIN("domain"),
        HOST("host");

        private final String wireName;

        Subject(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the prefix of subjects of this kind in requests, such as "host:". */
        String prefix() {
            return wireName + ":";
        }
    }

    // ---- groups

    abstract static class OrderGroup extends CommandGroup {
        private final Subject subject;

        @Argument(
                required = true,
                metaVar = "ACTION",
                usage = "out, in or list",
                handler = SubCommandHandler.class)
        @SubCommands({
            @SubCommand(name = "out", impl = Out.class),
            @SubCommand(name = "in", impl = In.class),
            @SubCommand(name = "list", impl = ListOrders.class),
        })
        private Command command;

        OrderGroup(Subject subject) {
            this.subject = subject;
        }

        @Override
        Command subcommand() {
            if (command instanceof OrderCommand order) {
                order.subject = subject;
            }
            return command;
        }

        @Override
        String description() {
            return "godwithoist "
                    + subject.wireName
                    + " out|in|list: takes a "
                    + subject.wireName
                    + " out of service, puts it back into service, or lists the orders.";
        }
    }

    /** Orders for failure domains. */
    public static final class DomainOrders extends OrderGroup {
        /** Creates the group; called by the command-line parser. */
        public DomainOrders() {
            super(Subject.DOMAIN);
        }
    }

    /** Orders for hosts. */
    public static final class HostOrders extends OrderGroup {
        /** Creates the group; called by the command-line parser. */
        public HostOrders() {
            super(Subject.HOST);
        }
    }

    // ---- commands

    abstract static class OrderCommand extends DaemonCommand {
        Subject subject;
    }

    abstract static class SetState extends OrderCommand {
        private final String state;

        @Argument(required = true, metaVar = "ID", usage = "failure domain or host")
        private String id;

        SetState(String state) {
            this.state = state;
        }

        @Override
        String description() {
            return "godwithoist "
                    + subject.wireName
                    + " "
                    + state
                    + " ID: puts the order "
                    + state
                    + " in force at all members; names those that did not acknowledge.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            JsonObject order =
                    new JsonObject().put("subject", subject.prefix() + id).put("state", state);
            return printResponse(console, client.post(PATH, order));
        }
    }

    /** Takes a subject out of service. */
    public static final class Out extends SetState {
        /** Creates the command; called by the command-line parser. */
        public Out() {
            super("out");
        }
    }

    /** Puts a subject back into service. */
    public static final class In extends SetState {
        /** Creates the command; called by the command-line parser. */
        public In() {
            super("in");
        }
    }

    /** Lists the orders for one kind of subject. */
    public static final class ListOrders extends OrderCommand {
        @Override
        String description() {
            return "godwithoist " + subject.wireName + " list: lists the orders in force.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            DaemonResponse response = client.get(PATH);
            if (ExitCode.of(response) != ExitCode.OK) {
                return printResponse(console, response);
            }
            JsonArray orders = new JsonArray();
            for (Object o : response.body().getJsonArray("orders", new JsonArray())) {
                if (o instanceof JsonObject order
                        && order.getString("subject", "").startsWith(subject.prefix())) {
                    orders.add(order);
                }
            }
            console.print(new JsonObject().put("orders", orders), isJson());
            return ExitCode.OK;
        }
    }
}
