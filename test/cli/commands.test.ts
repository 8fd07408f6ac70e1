import { beforeEach, describe, expect, it } from "vitest";
import { ok } from "neverthrow";
import type { DaemonDirectory, DaemonView } from "../../src/cli/daemonDirectory.js";
import { ApiKeyIndex } from "../../src/document/apiKey.js";
import { buildDocument } from "../document/fixtures.js";
import { CliFixture } from "./cliFixtures.js";

let fixture: CliFixture;

beforeEach(() => {
    fixture = new CliFixture();
    fixture.files.set("doc.json", JSON.stringify(buildDocument(1)));
    fixture.files.set("doc2.json", JSON.stringify(buildDocument(2)));
});

describe("document commands", () => {
    it("names each fault of a document by its path", async () => {
        const bad = { ...buildDocument(1), colour: "red", dataCentres: { "gt-a": { region: "r", state: "closed" } } };
        fixture.files.set("bad.json", JSON.stringify({ ...bad, services: { "no name!": {} } }));
        fixture.files.set("cut.json", '{"schemaVersion": 1,');
        expect([await fixture.run("document check bad.json"), await fixture.run("document check cut.json")])
            .toMatchInlineSnapshot(`
          [
            {
              "exitCode": 1,
              "output": "(stderr) lynxarch: bad.json:
          /services/no name!: name must be 1 to 64 letters, digits, or . _ / -
          /dataCentres/gt-a/state: Invalid option: expected one of "in"|"out"
          /colour: unknown key",
            },
            {
              "exitCode": 1,
              "output": "(stderr) lynxarch: cut.json:
          document: not JSON: unexpected token at position 20",
            },
          ]
        `);
        expect(await fixture.run("document check doc.json --json")).toMatchInlineSnapshot(`
          {
            "exitCode": 0,
            "output": "{"valid":true}",
          }
        `);
    });

    it("applies to trial, shows the difference and the history, and promotes exactly what trial has accepted", async () => {
        const runs = [];
        for (const line of [
            "document show --environment trial",
            "document apply doc.json",
            "document apply doc.json",
            "document diff doc2.json",
            "document apply doc2.json --json",
            "document diff",
            "document promote --trial-offset 0",
            "document promote",
            "document promote",
            "document history",
        ]) {
            runs.push(`$ lynxarch ${line}`, await fixture.run(line));
        }
        expect(runs).toMatchInlineSnapshot(`
          [
            "$ lynxarch document show --environment trial",
            {
              "exitCode": 1,
              "output": "(stderr) lynxarch: trial has no document yet",
            },
            "$ lynxarch document apply doc.json",
            {
              "exitCode": 0,
              "output": "trial: applied at offset 0
          + /schemaVersion: 1
          + /clientAccounts: {"club":{"weight":1,"apiKeyHashes":[]}}
          + /services: {"chat":{"kind":"model","nonIdempotent":[],"deadlineMs":60000,"longFromCost":1000}}
          + /dataCentres: {"gt-a":{"region":"gt-central","state":"in"}}
          + /targets: {"t1":{"dataCentre":"gt-a","services":["chat"],"state":"serving","maxConcurrent":8,"coldLimit":2,"checksFencing":true}}
          + /limits: {"maxWaitingTotal":1000,"maxWaitingPerAccount":200,"maxOpenPerAccount":400,"maxBodyBytes":1048576,"retryRatio":0.1,"weightLoadsPerMinute":10}",
            },
            "$ lynxarch document apply doc.json",
            {
              "exitCode": 0,
              "output": "trial: no change needed",
            },
            "$ lynxarch document diff doc2.json",
            {
              "exitCode": 0,
              "output": "~ /clientAccounts/club/weight: 1 -> 2",
            },
            "$ lynxarch document apply doc2.json --json",
            {
              "exitCode": 0,
              "output": "{"environment":"trial","applied":true,"offset":1,"id":"ID","differences":[{"kind":"changed","path":"/clientAccounts/club/weight","before":1,"after":2}]}",
            },
            "$ lynxarch document diff",
            {
              "exitCode": 0,
              "output": "+ /schemaVersion: 1
          + /clientAccounts: {"club":{"weight":2,"apiKeyHashes":[]}}
          + /services: {"chat":{"kind":"model","nonIdempotent":[],"deadlineMs":60000,"longFromCost":1000}}
          + /dataCentres: {"gt-a":{"region":"gt-central","state":"in"}}
          + /targets: {"t1":{"dataCentre":"gt-a","services":["chat"],"state":"serving","maxConcurrent":8,"coldLimit":2,"checksFencing":true}}
          + /limits: {"maxWaitingTotal":1000,"maxWaitingPerAccount":200,"maxOpenPerAccount":400,"maxBodyBytes":1048576,"retryRatio":0.1,"weightLoadsPerMinute":10}",
            },
            "$ lynxarch document promote --trial-offset 0",
            {
              "exitCode": 3,
              "output": "(stderr) lynxarch: trial has accepted offset 1, not 0; nothing was changed",
            },
            "$ lynxarch document promote",
            {
              "exitCode": 0,
              "output": "production: applied at offset 0
          + /schemaVersion: 1
          + /clientAccounts: {"club":{"weight":2,"apiKeyHashes":[]}}
          + /services: {"chat":{"kind":"model","nonIdempotent":[],"deadlineMs":60000,"longFromCost":1000}}
          + /dataCentres: {"gt-a":{"region":"gt-central","state":"in"}}
          + /targets: {"t1":{"dataCentre":"gt-a","services":["chat"],"state":"serving","maxConcurrent":8,"coldLimit":2,"checksFencing":true}}
          + /limits: {"maxWaitingTotal":1000,"maxWaitingPerAccount":200,"maxOpenPerAccount":400,"maxBodyBytes":1048576,"retryRatio":0.1,"weightLoadsPerMinute":10}",
            },
            "$ lynxarch document promote",
            {
              "exitCode": 0,
              "output": "production: no change needed",
            },
            "$ lynxarch document history",
            {
              "exitCode": 0,
              "output": "0  2026-01-01T00:00:00.000Z  accepted  ana  ID  promoted from trial 1",
            },
          ]
        `);
        expect(await fixture.readDocument("production")).toEqual(buildDocument(2));
    });

    it("tells the operator who edited an old copy", async () => {
        await fixture.run("document apply doc.json");
        await fixture.run("document apply doc2.json", "ben");
        expect(await fixture.run("document apply doc.json --basis 0")).toMatchInlineSnapshot(`
          {
            "exitCode": 3,
            "output": "(stderr) lynxarch: offset 1 is accepted, not 0; nothing was changed",
          }
        `);
        expect((await fixture.readDocument("trial")).clientAccounts["club"].weight).toBe(2);
    });

    it("does not bring back a data centre that is out, unless told to", async () => {
        // A zone fails and an operator takes it out of production. Another promotes an unrelated change from trial,
        // where the zone is in: requests would go to the failing zone again, and nobody would know why.
        await fixture.run("document apply doc.json");
        await fixture.run("document promote");
        await fixture.run("datacentre out gt-a");
        await fixture.run("document apply doc2.json");
        expect(await fixture.run("document promote")).toMatchInlineSnapshot(`
          {
            "exitCode": 1,
            "output": "(stderr) lynxarch: this would bring back into service in production: data centre gt-a; nothing was changed. Take them out in trial as well, or give --allow-return",
          }
        `);
        expect((await fixture.readDocument("production")).dataCentres["gt-a"].state).toBe("out");
        expect((await fixture.run("document promote --allow-return")).exitCode).toBe(0);
        expect((await fixture.readDocument("production")).dataCentres["gt-a"].state).toBe("in");
    });

    it("restores a document only when the log has lost the history", async () => {
        await fixture.run("document apply doc.json");
        expect(await fixture.run("document restore doc2.json")).toMatchInlineSnapshot(`
          {
            "exitCode": 1,
            "output": "(stderr) lynxarch: the history of trial is not lost; use document apply",
          }
        `);
        fixture.clock.advance(3_600_001);
        expect(await fixture.run("document apply doc2.json")).toMatchInlineSnapshot(`
          {
            "exitCode": 1,
            "output": "(stderr) lynxarch: the log of trial no longer holds the records that say which document is in force; see "document restore" in docs/CLI.md",
          }
        `);
        expect(await fixture.run("document restore doc2.json")).toMatchInlineSnapshot(`
          {
            "exitCode": 0,
            "output": "trial: applied at offset 1",
          }
        `);
        expect((await fixture.readDocument("trial")).clientAccounts["club"].weight).toBe(2);
    });
});

describe("commands that edit one part", () => {
    it("take out, bring back, drain, create and issue", async () => {
        await fixture.run("document apply doc.json --environment production");
        await fixture.run("document apply doc.json");
        const runs = [];
        for (const line of [
            "datacentre out gt-a",
            "datacentre out gt-a",
            "datacentre in gt-a --json",
            "datacentre out nowhere",
            "target drain t1",
            "target resume t1",
            "account create school --weight 40",
            "account create school",
            "account create school2 --weight -1",
            "key issue school --json",
            "key issue constructor",
        ]) {
            runs.push(`$ lynxarch ${line}`, await fixture.run(line));
        }
        expect(runs).toMatchInlineSnapshot(`
          [
            "$ lynxarch datacentre out gt-a",
            {
              "exitCode": 0,
              "output": "production: applied at offset 1
          ~ /dataCentres/gt-a/state: "in" -> "out"",
            },
            "$ lynxarch datacentre out gt-a",
            {
              "exitCode": 0,
              "output": "production: no change needed",
            },
            "$ lynxarch datacentre in gt-a --json",
            {
              "exitCode": 0,
              "output": "{"environment":"production","applied":true,"offset":2,"id":"ID","differences":[{"kind":"changed","path":"/dataCentres/gt-a/state","before":"out","after":"in"}]}",
            },
            "$ lynxarch datacentre out nowhere",
            {
              "exitCode": 1,
              "output": "(stderr) lynxarch: no data centre is named "nowhere"",
            },
            "$ lynxarch target drain t1",
            {
              "exitCode": 0,
              "output": "production: applied at offset 3
          ~ /targets/t1/state: "serving" -> "draining"",
            },
            "$ lynxarch target resume t1",
            {
              "exitCode": 0,
              "output": "production: applied at offset 4
          ~ /targets/t1/state: "draining" -> "serving"",
            },
            "$ lynxarch account create school --weight 40",
            {
              "exitCode": 0,
              "output": "trial: applied at offset 1
          + /clientAccounts/school: {"weight":40,"apiKeyHashes":["HASH"]}
          key of school (shown only now): KEY",
            },
            "$ lynxarch account create school",
            {
              "exitCode": 1,
              "output": "(stderr) lynxarch: client account "school" exists already",
            },
            "$ lynxarch account create school2 --weight -1",
            {
              "exitCode": 2,
              "output": "(stderr) lynxarch: unknown option -1",
            },
            "$ lynxarch key issue school --json",
            {
              "exitCode": 0,
              "output": "{"environment":"trial","applied":true,"offset":2,"id":"ID","differences":[{"kind":"added","path":"/clientAccounts/school/apiKeyHashes/1","after":"HASH"}],"clientAccount":"school","key":"KEY","hash":"HASH"}",
            },
            "$ lynxarch key issue constructor",
            {
              "exitCode": 1,
              "output": "(stderr) lynxarch: no client account is named "constructor"",
            },
          ]
        `);
    });

    it("stores only the hash of a key, and the key finds its account", async () => {
        await fixture.run("document apply doc.json");
        await fixture.run("account create school --json");
        const { key } = JSON.parse(fixture.lastOutput) as { key: string };
        const stored = fixture.streams.read("document-trial", 1, 1).records[0];
        expect(JSON.stringify(stored)).not.toContain(key);
        const index = new ApiKeyIndex(await fixture.readDocument("trial"));
        expect([index.find(key), index.find("lx_wrong")]).toEqual(["school", undefined]);
    });
});

describe("status and --wait", () => {
    it("show which document each daemon has in force", async () => {
        await fixture.run("document apply doc.json --environment production");
        const entry = {
            daemonId: "router-1",
            role: "router" as const,
            incarnation: 1,
            address: "127.0.0.1:7101",
            dataCentre: "gt-a",
            vmId: "vm-r1",
            services: [],
        };
        const status = {
            ...entry,
            version: "0.1.0",
            environment: "production",
            documentOffset: 0,
            phase: "serving",
            waiting: 3,
            running: 2,
            uptimeMs: 61_000,
        };
        const agent = { ...entry, daemonId: "agent-t1", role: "agent" as const, address: "127.0.0.1:7201" };
        const daemons: readonly DaemonView[] = [
            { reachable: false, entry: agent, error: "refused" },
            { reachable: true, entry, status },
        ];
        const directory = {
            listDaemons: async () => ok(daemons),
            waitInForce: async () => ok({ daemons, behind: ["router-1"], unreachable: ["agent-t1"], waitedMs: 30_000 }),
        } as unknown as DaemonDirectory;
        expect(await fixture.run("status", "ana", directory)).toMatchInlineSnapshot(`
          {
            "exitCode": 0,
            "output": "DAEMON    ROLE    DATA CENTRE  ADDRESS         DOCUMENT  PHASE        WAITING  RUNNING  WINDOW  UPTIME
          agent-t1  agent   gt-a         127.0.0.1:7201  -         unreachable  -        -        -       -
          router-1  router  gt-a         127.0.0.1:7101  0         serving      3        2        -       61s",
          }
        `);
        expect(await fixture.run("datacentre out gt-a --wait", "ana", directory)).toMatchInlineSnapshot(`
          {
            "exitCode": 1,
            "output": "production: applied at offset 1
          ~ /dataCentres/gt-a/state: "in" -> "out"
          in force on 0 daemons
          not yet in force: router-1
          unreachable: agent-t1",
          }
        `);
        expect(await fixture.run("datacentre in gt-a --wait")).toMatchInlineSnapshot(`
          {
            "exitCode": 4,
            "output": "production: applied at offset 2
          ~ /dataCentres/gt-a/state: "out" -> "in"
          applied, but the daemons could not be asked: no daemons here",
          }
        `);
    });
});
