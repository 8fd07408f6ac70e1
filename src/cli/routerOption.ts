import { err, ok, type Result } from "neverthrow";
import { UsageError } from "./cliErrors.js";
import type { CommandOption, Invocation } from "./command.js";
import { getText } from "./options.js";

const addressPattern = /^[^:\s]+:\d{1,5}$/;

/** Names the router that a command asks. */
export const routerOption: CommandOption = {
    name: "router",
    kind: "text",
    description: "HOST:PORT of a router's control address",
};

/** The router's address. Errors: missing, or of another form. */
export function getRouterAddress(invocation: Invocation): Result<string, UsageError> {
    const address = getText(invocation, "router");
    return address !== undefined && addressPattern.test(address)
        ? ok(address)
        : err(new UsageError("--router must be HOST:PORT"));
}
