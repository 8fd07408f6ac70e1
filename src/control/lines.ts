import { StringDecoder } from "node:string_decoder";

/** Cuts a byte stream into lines; holds at most one unfinished line. */
export class LineSplitter {
    private readonly decoder = new StringDecoder("utf8");
    private rest = "";

    /** Takes bytes and returns the lines they complete. */
    public add(bytes: Buffer): readonly string[] {
        const parts = (this.rest + this.decoder.write(bytes)).split("\n");
        this.rest = parts.pop() ?? "";
        return parts.filter(line => line.length > 0);
    }
}
